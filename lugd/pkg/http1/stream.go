package http1

import (
	"sync"

	"marigoldlug.example/lugd/pkg/budget"
)

// maxHeldBytes is how long a response may be that is held whole, because requests behind it on its connection are
// sent to targets already: if it broke off halfway, the connection would end and their responses be lost.
const maxHeldBytes = 1 << 20

// moreBytes returns how many bytes of a long response are to be read before any of it is passed on: maxHeldBytes if
// requests behind it are in flight and there is memory for it. Otherwise it is 0, and the response counts as streamed:
// no request behind it is begun until it has ended.
func (han *requestHandler) moreBytes(length int64) int {
	if !han.con.startStream(han.number) {
		return han.hold(length)
	}
	return 0
}

// hold takes the memory for a response that is held whole, and returns how many bytes of it are to be read.
func (han *requestHandler) hold(length int64) int {
	want := int64(maxHeldBytes)
	if length >= 0 {
		want = min(want, length+1) // One byte more tells that the body ends there.
	}
	if !han.held.take(want) {
		return 0
	}
	return int(want)
}

// heldMemory is the memory that is taken for the responses to one request that are held whole. It is safe for concurrent
// use.
type heldMemory struct {
	share    *budget.Share
	mut      sync.Mutex
	bytes    int64
	released bool
}

// take adds to the memory in use, unless there is no room for it or the request has ended.
func (hel *heldMemory) take(bytes int64) bool {
	hel.mut.Lock()
	defer hel.mut.Unlock()
	if hel.released || !hel.share.TakeBound(bytes) {
		return false
	}
	hel.bytes += bytes
	return true
}

// release subtracts what was taken from the memory in use, for good.
func (hel *heldMemory) release() {
	hel.mut.Lock()
	defer hel.mut.Unlock()
	hel.share.GiveBound(hel.bytes)
	hel.bytes, hel.released = 0, true
}

// startStream records that the response to a request is passed on as it comes, unless a later request of the connection
// has begun. It reports whether it did so.
func (con *conn) startStream(number uint64) bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	if con.begun > number {
		return false
	}
	if con.streamEnded == nil && !con.lastEnded {
		con.streamEnded = make(chan struct{})
	}
	return true
}

// endLast records that the last request that has begun has ended, and with it its stream. con.mut must be held.
func (con *conn) endLast() {
	con.lastEnded = true
	if con.streamEnded != nil {
		close(con.streamEnded)
		con.streamEnded = nil
	}
}

// awaitStream waits until no response is streamed. A caller that leaves is noticed meanwhile.
func (con *conn) awaitStream() {
	con.mut.Lock()
	ended := con.streamEnded
	con.mut.Unlock()
	if ended != nil {
		con.readAhead(ended)
	}
}
