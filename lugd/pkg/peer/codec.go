package peer

import (
	"fmt"
	"math"
	"time"

	"marigoldlug.example/core/member"
)

// The kinds of messages. They are part of the protocol and never reused.
const (
	kindHello         = 1
	kindStranger      = 2
	kindStateQuestion = 5
	kindStateAnswer   = 6

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
const protocolVersion = 3

// hello opens a connection.
type hello struct {
	Version uint64
	From    member.VM
	// To is the VM that the sender means to reach.
	To string
}

// stranger answers a hello that is meant for another VM.
type stranger struct{}

// stateQuestion asks a VM for its state.
type stateQuestion struct{}

// State is what a VM says of itself to an operator's VM.
type State struct {
	VM        member.VM
	Version   uint64
	Members   int
	Ready     bool
	Reading   bool
	Follows   string
	ConfigAge time.Duration
	Requests  int
	// Suspected lists the targets that the VM, as a placer, takes to be sick.
	Suspected []string
}

// encode returns the payload of the frame for a message.
func encode(msg any) ([]byte, error) {
	wrt := newWriter()
	if !wrt.own(msg) && !wrt.gateway(msg) {
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
	wrt.whole(int64(msg.Members))
	wrt.boolean(msg.Ready)
	wrt.boolean(msg.Reading)
	wrt.text(msg.Follows)
	wrt.duration(msg.ConfigAge)
	wrt.whole(int64(msg.Requests))
	wrt.texts(msg.Suspected)
}

func (wrt *writer) vm(vmm member.VM) {
	wrt.text(vmm.ID)
	wrt.text(vmm.Address)
	wrt.text(vmm.FailureDomain)
	wrt.number(math.Float64bits(vmm.Capacity))
}

func (rdr *reader) vm() member.VM {
	return member.VM{ID: rdr.text(), Address: rdr.text(), FailureDomain: rdr.text(), Capacity: math.Float64frombits(rdr.number())}
}

// decode reads the payload of a frame. The error wraps errMalformed.
func decode(payload []byte) (any, error) {
	rdr := newReader(payload)
	kind := rdr.number()
	var msg any
	if kind < kindFeedAsk {
		msg = rdr.own(kind)
	} else {
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

func (rdr *reader) own(kind uint64) any {
	switch kind {
	case kindHello:
		return hello{Version: rdr.number(), From: rdr.vm(), To: rdr.text()}
	case kindStranger:
		return stranger{}
	case kindStateQuestion:
		return stateQuestion{}
	case kindStateAnswer:
		return State{
			VM: rdr.vm(), Version: rdr.number(), Members: int(rdr.whole()), Ready: rdr.boolean(), Reading: rdr.boolean(), Follows: rdr.text(),
			ConfigAge: rdr.duration(), Requests: int(rdr.whole()), Suspected: rdr.texts(),
		}
	}
	return nil
}
