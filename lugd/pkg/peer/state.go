package peer

import "context"

func (trn *Transport) stateArrived(sta State) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if trn.states == nil {
		return
	}
	select {
	case trn.states <- sta:
	default:
	}
}

// QueryStates asks VMs for their states and returns those that answer in time. One
// call waits for another to end.
func (trn *Transport) QueryStates(ctx context.Context, ids []string) []State {
	trn.asking.Lock()
	defer trn.asking.Unlock()
	arrived := make(chan State, len(ids))
	trn.mut.Lock()
	trn.states = arrived
	trn.mut.Unlock()
	for _, id := range ids {
		trn.Send(id, stateQuestion{})
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var out []State
	for len(out) < len(ids) {
		select {
		case sta := <-arrived:
			out = append(out, sta)
		case <-ctx.Done():
			return out
		}
	}
	return out
}
