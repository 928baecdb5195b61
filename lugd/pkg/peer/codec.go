package peer

import (
	"fmt"
	"time"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/rate"
)

// The kinds of messages. They are part of the protocol and never reused.
const (
	kindHello         = 1
	kindStranger      = 2
	kindChunkQuestion = 3
	kindChunkAnswer   = 4
	kindStateQuestion = 5
	kindStateAnswer   = 6

	kindQuestion      = 10
	kindAnswer        = 11
	kindNews          = 12
	kindTallyQuestion = 13
	kindTallyAnswer   = 14
	kindHeadQuestion  = 15
	kindVote          = 16

	kindAsk      = 20
	kindTransfer = 21
	kindAck      = 22
	kindDeny     = 23
	kindSurvey   = 24
	kindHoldings = 25

	kindJoin  = 30
	kindLeave = 31
	kindPing  = 32
	kindPong  = 33

	kindDigest  = 40
	kindVerdict = 41
)

// protocolVersion is raised when frames change in a way that older programs
// cannot read.
const protocolVersion = 1

// hello opens a connection.
type hello struct {
	Version uint64
	From    member.VM
	// To is the VM that the sender means to reach.
	To string
}

// stranger answers a hello that is meant for another VM.
type stranger struct{}

// chunkQuestion asks for the content of a chunk.
type chunkQuestion struct {
	ID chunk.ID
}

// chunkAnswer carries a chunk; the content is empty where the VM lacks it.
type chunkAnswer struct {
	ID      chunk.ID
	Content []byte
}

// stateQuestion asks a VM for its state.
type stateQuestion struct{}

// State is what a VM says of itself to an operator's VM.
type State struct {
	VM       member.VM
	Version  uint64
	Release  string
	Epoch    uint64
	Members  int
	Accepted uint64
	Ready    bool
	Active   bool
	ProofAge time.Duration
	Requests int
	Ejected  []string
}

// encode returns the payload of the frame for a message.
func encode(msg any) ([]byte, error) {
	wrt := newWriter()
	if !wrt.own(msg) && !wrt.fence(msg) && !wrt.rate(msg) && !wrt.member(msg) && !wrt.health(msg) {
		return nil, fmt.Errorf("message of type %T has no frame", msg)
	}
	return wrt.buf.Bytes(), wrt.err
}

func (wrt *writer) vm(vmm member.VM) {
	wrt.text(vmm.ID)
	wrt.text(vmm.Address)
	wrt.text(vmm.FailureDomain)
}

func (wrt *writer) own(msg any) bool {
	switch msg := msg.(type) {
	case hello:
		wrt.number(kindHello)
		wrt.number(msg.Version)
		wrt.vm(msg.From)
		wrt.text(msg.To)
	case stranger:
		wrt.number(kindStranger)
	case chunkQuestion:
		wrt.number(kindChunkQuestion)
		wrt.raw(msg.ID[:])
	case chunkAnswer:
		wrt.number(kindChunkAnswer)
		wrt.raw(msg.ID[:])
		wrt.raw(msg.Content)
	case stateQuestion:
		wrt.number(kindStateQuestion)
	case State:
		wrt.state(msg)
	default:
		return false
	}
	return true
}

func (wrt *writer) state(msg State) {
	wrt.number(kindStateAnswer)
	wrt.vm(msg.VM)
	wrt.number(msg.Version)
	wrt.text(msg.Release)
	wrt.number(msg.Epoch)
	wrt.whole(int64(msg.Members))
	wrt.number(msg.Accepted)
	wrt.boolean(msg.Ready)
	wrt.boolean(msg.Active)
	wrt.duration(msg.ProofAge)
	wrt.whole(int64(msg.Requests))
	wrt.texts(msg.Ejected)
}

func (wrt *writer) fence(msg any) bool {
	switch msg := msg.(type) {
	case fence.Question:
		wrt.number(kindQuestion)
		wrt.number(msg.Sequence)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
	case fence.Vote:
		wrt.number(kindVote)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
		wrt.instant(msg.Stamp)
	case fence.Answer:
		wrt.number(kindAnswer)
		wrt.number(msg.Sequence)
		wrt.number(msg.Version)
		wrt.boolean(msg.Proved)
		wrt.duration(msg.Age)
		wrt.instant(msg.Stamp)
		wrt.number(msg.Accepted)
	case fence.News:
		wrt.number(kindNews)
		wrt.head(msg.Head)
	case fence.TallyQuestion:
		wrt.number(kindTallyQuestion)
		wrt.number(msg.Sequence)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
	case fence.TallyAnswer:
		wrt.tallyAnswer(msg)
	case fence.HeadQuestion:
		wrt.number(kindHeadQuestion)
	default:
		return false
	}
	return true
}

func (wrt *writer) head(hea fence.Head) {
	wrt.number(hea.Version)
	wrt.text(hea.Release)
	wrt.number(hea.ReleaseVersion)
	wrt.raw(hea.Manifest[:])
	wrt.raw(hea.History[:])
	wrt.number(hea.LimitsVersion)
	wrt.number(hea.Epoch)
	wrt.raw(hea.View[:])
	wrt.raw(hea.PriorView[:])
	wrt.text(hea.Writer)
	wrt.number(hea.Sequence)
}

func (wrt *writer) tallyAnswer(msg fence.TallyAnswer) {
	wrt.number(kindTallyAnswer)
	wrt.number(msg.Sequence)
	wrt.number(msg.Epoch)
	wrt.text(msg.Domain)
	wrt.number(msg.Version)
	wrt.count(len(msg.Ages))
	for _, cnt := range msg.Ages {
		wrt.whole(int64(cnt))
	}
	wrt.number(msg.Asked)
	wrt.whole(int64(msg.Holding))
	wrt.whole(int64(msg.HoldingPrior))
	wrt.texts(msg.Lagging)
	wrt.texts(msg.Silent)
	wrt.number(msg.Accepted)
}

func (wrt *writer) rate(msg any) bool {
	switch msg := msg.(type) {
	case rate.Ask:
		wrt.number(kindAsk)
		wrt.text(msg.Organisation)
		wrt.number(msg.Round)
		wrt.whole(int64(msg.Need))
		wrt.whole(int64(msg.Demand))
		wrt.limit(msg.Held)
	case rate.Transfer:
		wrt.number(kindTransfer)
		wrt.text(msg.Organisation)
		wrt.number(msg.Round)
		wrt.number(msg.Number)
		wrt.whole(int64(msg.Grant.Rate))
		wrt.whole(int64(msg.Grant.Burst))
		wrt.whole(int64(msg.Grant.Tokens))
		wrt.boolean(msg.Answer)
		wrt.duration(msg.RetryAfter)
	case rate.Ack:
		wrt.number(kindAck)
		wrt.text(msg.Organisation)
		wrt.number(msg.Number)
	case rate.Deny:
		wrt.number(kindDeny)
		wrt.text(msg.Organisation)
		wrt.number(msg.Round)
		wrt.duration(msg.RetryAfter)
		wrt.boolean(msg.Behind)
	case rate.Survey:
		wrt.number(kindSurvey)
		wrt.number(msg.Epoch)
		wrt.number(msg.Version)
	case rate.Holdings:
		wrt.holdings(msg)
	default:
		return false
	}
	return true
}

func (wrt *writer) limit(lim rate.Limit) {
	wrt.whole(int64(lim.Rate))
	wrt.whole(int64(lim.Burst))
}

func (wrt *writer) holdings(msg rate.Holdings) {
	wrt.number(kindHoldings)
	wrt.number(msg.Epoch)
	wrt.number(msg.Version)
	wrt.count(len(msg.List))
	for _, hol := range msg.List {
		wrt.text(hol.Organisation)
		wrt.number(hol.Round)
		wrt.limit(hol.Entered)
	}
}

func (wrt *writer) member(msg any) bool {
	switch msg := msg.(type) {
	case member.Join:
		wrt.number(kindJoin)
		wrt.vm(msg.VM)
	case member.Leave:
		wrt.number(kindLeave)
		wrt.text(msg.ID)
	case member.Ping:
		wrt.number(kindPing)
	case member.Pong:
		wrt.number(kindPong)
	default:
		return false
	}
	return true
}

// decode reads the payload of a frame. The error wraps errMalformed.
func decode(payload []byte) (any, error) {
	rdr := newReader(payload)
	kind := rdr.number()
	var msg any
	switch {
	case kind < kindQuestion:
		msg = rdr.own(kind)
	case kind < kindAsk:
		msg = rdr.fence(kind)
	case kind < kindJoin:
		msg = rdr.rate(kind)
	case kind < kindDigest:
		msg = rdr.member(kind)
	default:
		msg = rdr.health(kind)
	}
	if rdr.err != nil {
		return nil, rdr.err
	}
	if msg == nil {
		return nil, fmt.Errorf("%w: kind %d is unknown", errMalformed, kind)
	}
	return msg, nil
}

func (rdr *reader) vm() member.VM {
	return member.VM{ID: rdr.text(), Address: rdr.text(), FailureDomain: rdr.text()}
}

func (rdr *reader) chunkID() chunk.ID {
	var id chunk.ID
	raw := rdr.raw()
	if rdr.err == nil && len(raw) != len(id) {
		rdr.err = errMalformed
	}
	copy(id[:], raw)
	return id
}

func (rdr *reader) own(kind uint64) any {
	switch kind {
	case kindHello:
		return hello{Version: rdr.number(), From: rdr.vm(), To: rdr.text()}
	case kindStranger:
		return stranger{}
	case kindChunkQuestion:
		return chunkQuestion{ID: rdr.chunkID()}
	case kindChunkAnswer:
		return chunkAnswer{ID: rdr.chunkID(), Content: rdr.raw()}
	case kindStateQuestion:
		return stateQuestion{}
	case kindStateAnswer:
		return State{
			VM: rdr.vm(), Version: rdr.number(), Release: rdr.text(), Epoch: rdr.number(), Members: int(rdr.whole()),
			Accepted: rdr.number(), Ready: rdr.boolean(), Active: rdr.boolean(), ProofAge: rdr.duration(),
			Requests: int(rdr.whole()), Ejected: rdr.texts(),
		}
	}
	return nil
}

func (rdr *reader) fence(kind uint64) any {
	switch kind {
	case kindQuestion:
		return fence.Question{Sequence: rdr.number(), Epoch: rdr.number(), Version: rdr.number()}
	case kindVote:
		return fence.Vote{Epoch: rdr.number(), Version: rdr.number(), Stamp: rdr.instant()}
	case kindAnswer:
		return fence.Answer{
			Sequence: rdr.number(), Version: rdr.number(), Proved: rdr.boolean(), Age: rdr.duration(),
			Stamp: rdr.instant(), Accepted: rdr.number(),
		}
	case kindNews:
		return fence.News{Head: rdr.head()}
	case kindTallyQuestion:
		return fence.TallyQuestion{Sequence: rdr.number(), Epoch: rdr.number(), Version: rdr.number()}
	case kindTallyAnswer:
		return rdr.tallyAnswer()
	case kindHeadQuestion:
		return fence.HeadQuestion{}
	}
	return nil
}

func (rdr *reader) head() fence.Head {
	return fence.Head{
		Version: rdr.number(), Release: rdr.text(), ReleaseVersion: rdr.number(),
		Manifest: rdr.chunkID(), History: rdr.chunkID(), LimitsVersion: rdr.number(),
		Epoch: rdr.number(), View: rdr.chunkID(), PriorView: rdr.chunkID(),
		Writer: rdr.text(), Sequence: rdr.number(),
	}
}

func (rdr *reader) tallyAnswer() fence.TallyAnswer {
	msg := fence.TallyAnswer{Sequence: rdr.number(), Epoch: rdr.number(), Domain: rdr.text(), Version: rdr.number()}
	for range rdr.count() {
		msg.Ages = append(msg.Ages, int(rdr.whole()))
	}
	msg.Asked = rdr.number()
	msg.Holding = int(rdr.whole())
	msg.HoldingPrior = int(rdr.whole())
	msg.Lagging = rdr.texts()
	msg.Silent = rdr.texts()
	msg.Accepted = rdr.number()
	return msg
}

func (rdr *reader) rate(kind uint64) any {
	switch kind {
	case kindAsk:
		return rate.Ask{
			Organisation: rdr.text(), Round: rdr.number(), Need: rate.Tokens(rdr.whole()),
			Demand: rate.PerSecond(rdr.whole()), Held: rdr.limit(),
		}
	case kindTransfer:
		return rate.Transfer{
			Organisation: rdr.text(), Round: rdr.number(), Number: rdr.number(),
			Grant:  rate.Grant{Rate: rate.PerSecond(rdr.whole()), Burst: rate.Tokens(rdr.whole()), Tokens: rate.Tokens(rdr.whole())},
			Answer: rdr.boolean(), RetryAfter: rdr.duration(),
		}
	case kindAck:
		return rate.Ack{Organisation: rdr.text(), Number: rdr.number()}
	case kindDeny:
		return rate.Deny{Organisation: rdr.text(), Round: rdr.number(), RetryAfter: rdr.duration(), Behind: rdr.boolean()}
	case kindSurvey:
		return rate.Survey{Epoch: rdr.number(), Version: rdr.number()}
	case kindHoldings:
		return rdr.holdings()
	}
	return nil
}

func (rdr *reader) limit() rate.Limit {
	return rate.Limit{Rate: rate.PerSecond(rdr.whole()), Burst: rate.Tokens(rdr.whole())}
}

func (rdr *reader) holdings() rate.Holdings {
	msg := rate.Holdings{Epoch: rdr.number(), Version: rdr.number()}
	for range rdr.count() {
		msg.List = append(msg.List, rate.Holding{Organisation: rdr.text(), Round: rdr.number(), Entered: rdr.limit()})
		if rdr.err != nil {
			break
		}
	}
	return msg
}

func (rdr *reader) member(kind uint64) any {
	switch kind {
	case kindJoin:
		return member.Join{VM: rdr.vm()}
	case kindLeave:
		return member.Leave{ID: rdr.text()}
	case kindPing:
		return member.Ping{}
	case kindPong:
		return member.Pong{}
	}
	return nil
}

// FrameSize returns the length in bytes of the frame that carries a message.
func FrameSize(msg any) (int, error) {
	payload, err := encode(msg)
	return len(payload) + frameHeader, err
}
