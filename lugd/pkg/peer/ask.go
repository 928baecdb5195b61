package peer

import (
	"context"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/fence"
)

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

// States asks VMs for their states and returns those that answer in time. One
// call waits for another to end.
func (trn *Transport) States(ctx context.Context, ids []string) []State {
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

// AskHead asks whatever VM listens at an address for the head that it holds.
func (trn *Transport) AskHead(address string) {
	trn.Introduce(anyVM+address, address)
	trn.Send(anyVM+address, fence.HeadQuestion{})
}

func (trn *Transport) chunkArrived(ans chunkAnswer) {
	trn.mut.Lock()
	waiting := trn.chunks[ans.ID]
	delete(trn.chunks, ans.ID)
	trn.mut.Unlock()
	for _, one := range waiting {
		one <- ans.Content
	}
}

// ChunkFrom obtains a chunk from another VM and checks its name.
func (trn *Transport) ChunkFrom(ctx context.Context, from string, id chunk.ID) ([]byte, error) {
	arrived := make(chan []byte, 1)
	trn.mut.Lock()
	trn.chunks[id] = append(trn.chunks[id], arrived)
	trn.mut.Unlock()
	trn.Send(from, chunkQuestion{ID: id})
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	select {
	case content := <-arrived:
		if chunk.IDOf(content) != id {
			return nil, errNoChunk
		}
		return content, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
