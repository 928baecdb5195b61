package peer

import "context"

// handleState passes a state to the latest call of QueryStates, if there was one.
func (trn *Transport) handleState(sta State) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if trn.answers == nil {
		return
	}
	select {
	case trn.answers <- sta:
	default:
	}
}

// QueryStates asks VMs for their states and returns the answers that arrive within
// stateTimeout. Calls run one after another.
func (trn *Transport) QueryStates(ctx context.Context, ids []string) []State {
	trn.queryMut.Lock()
	defer trn.queryMut.Unlock()
	arrived := make(chan State, len(ids))
	trn.mut.Lock()
	trn.answers = arrived
	trn.mut.Unlock()
	for _, id := range ids {
		trn.Send(id, stateQuery{})
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
