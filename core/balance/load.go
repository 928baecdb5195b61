// Package balance chooses the partition of a service that is asked for a target. Each answer of a placer
// tells how busy its partition is, so what a VM knows of a partition is as old as its last query there.
package balance

const (
	// loadSteps is the number of steps between an idle partition and one whose slots are all in use.
	loadSteps = 40
	// maxLoad is the greatest integer that the encoding of messages between VMs holds in one byte.
	maxLoad = 127
)

// Load is how busy the targets of a partition are: 0 if that is not known, else 1 for none of their slots
// in use, loadSteps more for all of them, and so on with the requests that wait, up to maxLoad.
type Load uint8

// LoadOf returns the load of targets that have so many requests and slots together. Without a slot it is
// the greatest one.
func LoadOf(requests, slots int) Load {
	if slots <= 0 {
		return maxLoad
	}
	return Load(min(1+(requests*loadSteps+slots/2)/slots, maxLoad))
}

// Bounded returns a load that was read from a message as one of those that LoadOf returns, or as 0.
func Bounded(val uint64) Load { return Load(min(val, maxLoad)) }

// Known reports whether the load is known.
func (loa Load) Known() bool { return loa > 0 }

// Share returns the load as requests per slot. It is 0 for an unknown load.
func (loa Load) Share() float64 { return max(float64(loa)-1, 0) / loadSteps }
