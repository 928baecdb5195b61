package node

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/queue"
	"marigoldlug.example/core/request"
)

// queueLength bounds the requests that wait for one service on one VM.
const queueLength = 64

// maxQueueTime bounds how long a request waits for room. A service that has
// none for longer is overloaded, and its callers are better told so at once.
const maxQueueTime = 250 * time.Millisecond

// gate is where the requests for one service wait when its targets have no
// room.
type gate struct {
	limit  *queue.Limit
	fair   *queue.Fair
	budget *request.Budget
}

func newGate() *gate {
	return &gate{limit: queue.NewLimit(), fair: queue.NewFair(queueLength), budget: request.NewBudget(request.UsualRetries())}
}

// start dispatches a request that may run, or lets it wait for its turn.
func (mac *Machine) start(now clock.Instant, fli *flight) {
	gat := mac.gates[fli.route.Service]
	if gat == nil {
		mac.refuse(fli, request.Refusal{Reason: request.NoTarget, Detail: "the service is withdrawn"})
		return
	}
	gat.budget.Deposit()
	if gat.fair.Len() == 0 && gat.limit.Free() {
		mac.dispatch(now, fli, "no target is configured")
		return
	}
	mac.enqueue(now, fli, gat)
	mac.pump(now, gat)
}

// enqueue lets a request wait. Where the queue is full another has to go.
func (mac *Machine) enqueue(now clock.Instant, fli *flight, gat *gate) {
	fli.queued = true
	if fli.waited == (clock.Instant{}) {
		fli.waited = now
	}
	dropped, full := gat.fair.Push(queue.Item{
		ID: uint64(fli.ID), Organisation: fli.organisation, Weight: mac.weight(fli.organisation), Deadline: fli.deadline, Since: fli.waited,
	})
	if full {
		mac.refuseQueued(dropped, request.Refusal{
			Reason: request.Overloaded, Detail: "the service has no room and the queue is full", RetryAfter: time.Second,
		})
	}
}

func (mac *Machine) weight(organisation string) int {
	if org := mac.snapshot.Organisation(organisation); org != nil {
		return org.Weight
	}
	return 1
}

func (mac *Machine) refuseQueued(itm queue.Item, ref request.Refusal) {
	if fli := mac.flights[request.ID(itm.ID)]; fli != nil {
		mac.refuse(fli, ref)
	}
}

// pump dispatches waiting requests while there is room.
func (mac *Machine) pump(now clock.Instant, gat *gate) {
	for gat.limit.Free() {
		itm, found := gat.fair.Pop()
		if !found {
			return
		}
		if fli := mac.flights[request.ID(itm.ID)]; fli != nil {
			fli.queued = false
			mac.dispatch(now, fli, "no target is configured")
		}
	}
}

// expire refuses the requests whose deadlines leave no time for an attempt, and
// lets others start where room has appeared.
func (mac *Machine) expire(now clock.Instant) {
	for _, name := range sortedKeys(mac.gates) {
		gat := mac.gates[name]
		for _, itm := range gat.fair.Expired(now, minAttemptTime, maxQueueTime) {
			mac.refuseQueued(itm, request.Refusal{
				Reason: request.Overloaded, Detail: "the service had no room in time", RetryAfter: time.Second,
			})
		}
		mac.pump(now, gat)
	}
}

func sortedKeys[T any](objs map[string]T) []string {
	names := make([]string, 0, len(objs))
	for name := range objs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
