package peer

import (
	"fmt"
	"time"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/member"
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

	kindFeedAsk     = 50
	kindFeedNews    = 51
	kindVMPing      = 52
	kindVMPong      = 53
	kindTokenAsk    = 54
	kindTokenGrant  = 55
	kindPlaceAsk    = 56
	kindPlaceAnswer = 57
	kindPlaceEnded  = 58
	kindPlaceOpen   = 59
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
	if !wrt.own(msg) && !wrt.fence(msg) && !wrt.rate(msg) && !wrt.member(msg) && !wrt.health(msg) && !wrt.gateway(msg) {
		return nil, fmt.Errorf("message of type %T has no frame", msg)
	}
	return wrt.buf.Bytes(), wrt.err
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
	case kind < kindFeedAsk:
		msg = rdr.health(kind)
	default:
		msg = rdr.gateway(kind)
	}
	if rdr.err != nil {
		return nil, rdr.err
	}
	if msg == nil {
		return nil, fmt.Errorf("%w: kind %d is unknown", errMalformed, kind)
	}
	return msg, nil
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

// FrameSize returns the length in bytes of the frame that carries a message.
func FrameSize(msg any) (int, error) {
	payload, err := encode(msg)
	return len(payload) + frameHeader, err
}
