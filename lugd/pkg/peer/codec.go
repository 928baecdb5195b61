package peer

import (
	"fmt"
	"math"
	"time"

	"marigoldlug.example/core/member"
	"marigoldlug.example/core/revision"
)

// The kinds of messages. The numbers are part of the protocol and are never reused.
const (
	kindHello       = 1
	kindWrongVM     = 2
	kindStateQuery  = 5
	kindStateAnswer = 6
	kindSuccessor   = 7
	// kindCompressed is followed by a compressed payload of another kind.
	kindCompressed = 8
	// kindForwardHello and kindForwardReady open a connection on which requests are forwarded. Older programs
	// do not know them, and close it.
	kindForwardHello = 9
	kindForwardReady = 10

	kindFeedQuery       = 50
	kindFeedUpdate      = 51
	kindVMPing          = 52
	kindVMPong          = 53
	kindTokenQuery      = 54
	kindTokenGrant      = 55
	kindPlacementQuery  = 56
	kindPlacementAnswer = 57
	kindPlacementEnded  = 58
	kindPlacementTrack  = 59
	// kindPlacementAnnounced and kindAnnouncedAnswer are sent only while targets announce something: older
	// programs do not know them. The second one is a kindPlacementAnswer with what the target announces.
	kindPlacementAnnounced = 60
	kindAnnouncedAnswer    = 61
	// These are sent only while requests are suspected to crash targets. kindSuspectedQuery is a
	// kindPlacementQuery of such a request.
	kindQuarantineAsk    = 62
	kindQuarantineRuling = 63
	kindQuarantineEnded  = 64
	kindQuarantineNews   = 65
	kindSuspectedQuery   = 66
	// These are sent only while VMs reach no target. kindPathsLostQuery is a kindPlacementQuery of such a VM, with
	// whether the request is suspected, and kindForwardedAnswer a kindAnnouncedAnswer with the VM that forwards.
	kindPathsLostQuery  = 67
	kindForwardedAnswer = 68
	kindPathsLost       = 69
	kindPathsWarning    = 70
	kindPortQuery       = 71
	kindPortReply       = 72
	// kindEraUpdate is a kindFeedUpdate with the eras of its revisions. It is sent only to VMs whose queries tell eras.
	kindEraUpdate = 73
	// kindDrains is sent only to VMs whose queries say that they keep to the drains of failure domains.
	kindDrains = 74
	// kindNewcomer is sent only to VMs whose queries say that they have just started.
	kindNewcomer = 75
	// kindDepartures is sent only to VMs whose queries say that they know it.
	kindDepartures = 76
)

// protocolVersion is raised when frames change in a way that older programs cannot
// decode.
const protocolVersion = 3

// hello is the first message on a connection.
type hello struct {
	Version uint64
	From    member.VM
	// To is the ID of the VM that the sender wants to reach.
	To string
}

// wrongVM rejects a hello whose To is the ID of another VM.
type wrongVM struct{}

// successor follows wrongVM and says which VM the receiver is. It is the run that has
// replaced the one that was meant, if both have the same name.
type successor struct{ VM member.VM }

// stateQuery asks a VM for its state.
type stateQuery struct{}

// State is the state of a VM, as reported to another VM that serves an operator.
type State struct {
	VM member.VM
	// Version is that of the configuration, and VMs the number of VMs that are listed in the
	// VM's view of the fleet.
	Version uint64
	VMs     int
	Ready   bool
	// Reading is set if the VM reads the platform itself, and Follows is the ID of the VM
	// that it follows, if any.
	Reading bool
	Follows string
	// ConfigAge is how long ago Version was last confirmed to be up to date.
	ConfigAge time.Duration
	// Requests is the number of in-flight requests.
	Requests int
	// Suspected lists the targets that the VM, as a placer, suspects to be failing.
	Suspected []string
	// Era is the store's latest era that the VM knows; 0 if it knows none, or is of an older program.
	Era revision.Era
}

// encode returns the payload of the frame for a message.
func encode(msg any) ([]byte, error) {
	wrt := newWriter()
	if !wrt.encodePeerMessage(msg) && !wrt.encodeCoreMessage(msg) {
		return nil, fmt.Errorf("message of type %T has no frame", msg)
	}
	if wrt.err != nil {
		return nil, wrt.err
	}
	return compress(wrt.buf.Bytes())
}

// encodePeerMessage encodes a message of this package, and reports whether msg is one.
func (wrt *writer) encodePeerMessage(msg any) bool {
	switch msg := msg.(type) {
	case hello:
		wrt.unsigned(kindHello)
		wrt.unsigned(msg.Version)
		wrt.vm(msg.From)
		wrt.text(msg.To)
	case forwardHello:
		wrt.unsigned(kindForwardHello)
		wrt.unsigned(msg.Version)
		wrt.vm(msg.From)
		wrt.text(msg.To)
	case forwardReady:
		wrt.unsigned(kindForwardReady)
	case wrongVM:
		wrt.unsigned(kindWrongVM)
	case successor:
		wrt.unsigned(kindSuccessor)
		wrt.vm(msg.VM)
	case stateQuery:
		wrt.unsigned(kindStateQuery)
	case State:
		wrt.state(msg)
	default:
		return false
	}
	return true
}

func (wrt *writer) state(msg State) {
	wrt.unsigned(kindStateAnswer)
	wrt.vm(msg.VM)
	wrt.unsigned(msg.Version)
	wrt.signed(int64(msg.VMs))
	wrt.boolean(msg.Ready)
	wrt.boolean(msg.Reading)
	wrt.text(msg.Follows)
	wrt.duration(msg.ConfigAge)
	wrt.signed(int64(msg.Requests))
	wrt.texts(msg.Suspected)
	if msg.Era != 0 {
		wrt.era(msg.Era) // At the end, where older programs do not read.
	}
}

func (rdr *reader) state() State {
	msg := State{
		VM: rdr.vm(), Version: rdr.unsigned(), VMs: int(rdr.signed()), Ready: rdr.boolean(), Reading: rdr.boolean(), Follows: rdr.text(),
		ConfigAge: rdr.duration(), Requests: int(rdr.signed()), Suspected: rdr.texts(),
	}
	if rdr.err == nil && rdr.src.Len() > 0 {
		msg.Era = rdr.era()
	}
	return msg
}

func (wrt *writer) vm(vmm member.VM) {
	wrt.text(vmm.ID)
	wrt.text(vmm.Address)
	wrt.text(vmm.FailureDomain)
	wrt.unsigned(math.Float64bits(vmm.Capacity))
}

func (rdr *reader) vm() member.VM {
	return member.VM{ID: rdr.text(), Address: rdr.text(), FailureDomain: rdr.text(), Capacity: math.Float64frombits(rdr.unsigned())}
}

// decode reads the payload of a frame. The error wraps errMalformed.
func decode(payload []byte) (any, error) {
	rdr := newReader(payload)
	kind := rdr.unsigned()
	if kind == kindCompressed && rdr.err == nil {
		plain, err := decompress(payload[rdr.consumed():])
		if err != nil {
			return nil, err
		}
		rdr = newReader(plain)
		kind = rdr.unsigned()
	}
	var msg any
	if kind < kindFeedQuery {
		msg = rdr.decodePeerMessage(kind)
	} else {
		msg = rdr.decodeCoreMessage(kind)
	}
	if rdr.err != nil {
		return nil, rdr.err
	}
	if msg == nil {
		return nil, fmt.Errorf("%w: kind %d is unknown", errMalformed, kind)
	}
	return msg, nil
}

// decodePeerMessage decodes a message of this package; it returns nil if the kind is unknown.
func (rdr *reader) decodePeerMessage(kind uint64) any {
	switch kind {
	case kindHello:
		return hello{Version: rdr.unsigned(), From: rdr.vm(), To: rdr.text()}
	case kindForwardHello:
		return forwardHello{Version: rdr.unsigned(), From: rdr.vm(), To: rdr.text()}
	case kindForwardReady:
		return forwardReady{}
	case kindWrongVM:
		return wrongVM{}
	case kindSuccessor:
		return successor{VM: rdr.vm()}
	case kindStateQuery:
		return stateQuery{}
	case kindStateAnswer:
		return rdr.state()
	}
	return nil
}
