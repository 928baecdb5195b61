package rate

import "time"

// Grant is allowance that leaves one VM for another. Capacity travels with the
// tokens that fill it, so that what a VM has lent cannot refill at home.
type Grant struct {
	Rate   PerSecond
	Burst  Tokens
	Tokens Tokens
}

// Empty reports whether the grant moves nothing.
func (gra Grant) Empty() bool { return gra == Grant{} }

// Message is what ledgers send to one another.
type Message interface{ rateMessage() }

// Ask requests allowance from a home of an organisation.
type Ask struct {
	Organisation string
	Round        uint64
	// Need is what the requests that wait cost.
	Need Tokens
	// Demand is the recent demand at the asking VM.
	Demand PerSecond
	// Held is the share of the asking VM.
	Held Limit
}

// Transfer moves a grant. The receiver adds it once for each number.
type Transfer struct {
	Organisation string
	Round        uint64
	// Number grows with every transfer of the sender.
	Number uint64
	Grant  Grant
	// Answer is set on the answer to an Ask.
	Answer bool
	// RetryAfter is above 0 when an Ask was not met in full.
	RetryAfter time.Duration
}

// Ack confirms a transfer.
type Ack struct {
	Organisation string
	Number       uint64
}

// Deny answers an Ask with nothing.
type Deny struct {
	Organisation string
	Round        uint64
	RetryAfter   time.Duration
	// Behind is set when the two VMs are in different rounds for the moment.
	Behind bool
}

// Survey asks a member what it held when it entered its present rounds, of the
// organisations whose first home is the asking VM.
type Survey struct {
	Epoch   uint64
	Version uint64
}

// Holding is the share that a VM held when it entered a round.
type Holding struct {
	Organisation string
	Round        uint64
	Entered      Limit
}

// Holdings answers a Survey and repeats its epoch and version.
type Holdings struct {
	Epoch   uint64
	Version uint64
	List    []Holding
}

func (Ask) rateMessage()      {}
func (Transfer) rateMessage() {}
func (Ack) rateMessage()      {}
func (Deny) rateMessage()     {}
func (Survey) rateMessage()   {}
func (Holdings) rateMessage() {}

// Output is something that a ledger wants done.
type Output interface{ rateOutput() }

// Send sends a message to the VM with an ID.
type Send struct {
	To      string
	Message Message
}

// Decided tells what became of a request that had to wait.
type Decided struct {
	Request  uint64
	Admitted bool
	// RetryAfter is when a refused request may succeed.
	RetryAfter time.Duration
}

func (Send) rateOutput()    {}
func (Decided) rateOutput() {}
