package edge

// Phase is a phase in the lifetime of a VM's process.
type Phase int32

// The phases, in the order in which a process passes through them.
const (
	Starting Phase = iota
	Serving
	Stopping
	Stopped
)

// String returns the name of the phase in the logs.
func (pha Phase) String() string {
	switch pha {
	case Starting:
		return "starting"
	case Serving:
		return "serving"
	case Stopping:
		return "stopping"
	case Stopped:
		return "stopped"
	}
	return "unknown"
}
