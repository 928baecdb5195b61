package fence

import (
	"time"

	"marigoldlug.example/core/clock"
)

// Message is what provers send to one another.
type Message interface{ fenceMessage() }

// Question asks a watcher whether the sender's head is the newest. It also
// serves as the sender's heartbeat.
type Question struct {
	// Sequence numbers the questions of the sender.
	Sequence uint64
	Epoch    uint64
	// Version is the version of the head that the sender holds.
	Version uint64
}

// Vote says what the sender holds after it has had the answer with a stamp. It
// counts towards the proofs of others.
type Vote struct {
	Epoch   uint64
	Version uint64
	// Stamp repeats the stamp of the answer.
	Stamp clock.Instant
}

// Answer is the answer of a watcher to a Question.
type Answer struct {
	Sequence uint64
	Version  uint64
	// Proved is set when Age is the age of a proof for Version.
	Proved bool
	Age    time.Duration
	// Stamp is the watcher's own clock, which the sender's vote repeats.
	Stamp clock.Instant
	// Accepted is the newest version known to be accepted.
	Accepted uint64
}

// News tells that a head exists. It proves nothing, since its age is unknown.
type News struct {
	Head Head
}

// TallyQuestion asks a watcher of another failure domain for the votes there.
type TallyQuestion struct {
	Sequence uint64
	Epoch    uint64
	// Version is the version held by the sender, for which holders are counted.
	Version uint64
}

// TallyAnswer lists the votes of the members of one failure domain.
type TallyAnswer struct {
	Sequence uint64
	Epoch    uint64
	Domain   string
	// Version is the highest version among the votes counted in Ages.
	Version uint64
	// Ages counts votes by age in steps of ageStep, the youngest first.
	Ages []int
	// Asked is the version asked about, and Holding and HoldingPrior the
	// members of the view and of the prior view that hold it or a newer one.
	Asked        uint64
	Holding      int
	HoldingPrior int
	// Lagging lists members that do not hold the version asked about.
	Lagging []string
	// Silent lists members that have not been heard for a while.
	Silent []string
	// Accepted is the newest version known to be accepted.
	Accepted uint64
}

// HeadQuestion asks a VM for the head that it holds.
type HeadQuestion struct{}

func (Question) fenceMessage()      {}
func (Vote) fenceMessage()          {}
func (Answer) fenceMessage()        {}
func (News) fenceMessage()          {}
func (TallyQuestion) fenceMessage() {}
func (TallyAnswer) fenceMessage()   {}
func (HeadQuestion) fenceMessage()  {}

// Output is something that a prover wants done.
type Output interface{ fenceOutput() }

// Send sends a message to a VM.
type Send struct {
	To      string
	Message Message
}

// ReadPlatform reads the head from the platform.
type ReadPlatform struct{}

// Want says that a newer head exists and should be loaded.
type Want struct {
	Head Head
	// From is the VM that holds it; empty means the platform.
	From string
}

func (Send) fenceOutput()         {}
func (ReadPlatform) fenceOutput() {}
func (Want) fenceOutput()         {}
