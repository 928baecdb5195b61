package edge

// Phase is a part of the life of a VM's process.
type Phase int32

// The phases, in their order.
const (
	Starting Phase = iota
	Serving
	Stopping
	Stopped
)

// String returns the name that logs show.
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
