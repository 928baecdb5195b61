package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"marigoldlug.example/core/request"
	"marigoldlug.example/lugd/pkg/budget"
	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// maxPipelined is the maximum number of in-flight requests of one connection.
	maxPipelined = 16
	// readBufferMargin is by how many bytes the read buffer exceeds Settings.HeaderBytes.
	readBufferMargin = 1 << 10
	// readBufferBytes is the size with which a connection's read buffer begins, in bytes. It grows for larger heads, and is
	// replaced by a small one after them.
	readBufferBytes = 4 << 10
	// writeBufferBytes is the size of a connection's write buffer, in bytes.
	writeBufferBytes = 4 << 10
	// writeTimeout is how long a caller may take to accept a part of a response.
	writeTimeout = 20 * time.Second
	// silenceTimeout is for how long the kernel of a caller may leave what is sent unanswered until the connection counts as
	// dead.
	silenceTimeout = 5 * time.Second
	// idleSlack is how much longer than the configured idle timeout a connection is kept.
	idleSlack = 500 * time.Millisecond
)

var (
	errHeadTooLarge       = errors.New("the head of the request is longer than this fleet takes")
	errConflictingFraming = errors.New("the request states both a length and chunks")
	errBodyTooLarge       = errors.New("the body is longer than this fleet takes")
	errNoMemory           = errors.New("the VM holds as much for callers as it may")
)

// conn is a connection of a caller.
type conn struct {
	srv    *Server
	raw    net.Conn
	reader *bufio.Reader
	// writer writes to progress, which writes to raw. Only the handler whose turn it is uses them.
	writer   *bufio.Writer
	progress *progressWriter
	// watched tells if the caller's machine does not answer.
	watched *socket.Watched
	// taken is what has been taken of memory for the request that is read, without the read buffer. Only the goroutine
	// that reads uses it, and grown, which is by how much the read buffer has been grown, in bytes.
	taken, grown int64
	// memory is what the connection holds of the server's memory. Loose is what it holds for the request that is
	// being read, bound what it holds for the connection itself and for requests that are answered.
	memory *budget.Share
	// files is what the connection holds of the server's descriptors: one for itself, which is loose while no
	// request is in flight, and a bound one for each request in flight.
	files *budget.Share
	// ctx is canceled when the caller has left or the connection has failed or closes.
	ctx    context.Context
	cancel context.CancelFunc
	// slots is a semaphore: it holds one element for each in-flight request, and one for the
	// request to be read next.
	slots chan struct{}
	// wait counts the request handlers that run.
	wait sync.WaitGroup

	mut sync.Mutex
	// begun is the number of the last request that has begun, counted from 1, and lastEnded is set once it has ended.
	begun     uint64
	lastEnded bool
	// streamEnded is closed, and nil again, once the response that is streamed has ended; nil while none is. It
	// is the response to the last request that has begun.
	streamEnded chan struct{}
	// inFlight counts the requests that have been read and are not answered.
	inFlight int
	// bound counts the requests for which bind was called and unbind was not. It is at least inFlight.
	bound int
	// unwritten counts the in-flight requests whose response has not been started.
	unwritten int
	// reading is set once a byte of the next request has arrived.
	reading bool
	// closing is set when the connection is to be closed as soon as it is idle.
	closing bool
	// closeAnnounced is set once a response with "Connection: close" has been started.
	closeAnnounced bool
	// endHidden is set once a response has broken off whose end is that of the connection, so that only a reset tells the caller
	// that it is incomplete.
	endHidden bool
	// idleSince is when the connection last became idle.
	idleSince time.Time
	// idleDeadline is the read deadline that was last set on the idle connection.
	idleDeadline time.Time
	// delivery tells what the caller has taken. Only the goroutine that serves the connection uses it.
	delivery delivery

	// deadlineMut guards revoked, readsEnded, and the read deadline while the connection is served.
	deadlineMut sync.Mutex
	// revoked is set once the request that is being read must be given up, for lack of memory.
	revoked bool
	// readsEnded is set once nothing more is read; what is left of the input is discarded as the connection ends.
	readsEnded bool
}

func newConn(srv *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	con := &conn{
		srv: srv, raw: raw, ctx: ctx, cancel: cancel,
		reader:    bufio.NewReaderSize(raw, readBufferBytes),
		slots:     make(chan struct{}, maxPipelined),
		idleSince: time.Now(),
	}
	con.watched = srv.watcher.Add(raw, con.closeSilent)
	con.progress = &progressWriter{raw: raw, timeout: srv.writeTimeout, sent: con.watched.Sent}
	con.writer = bufio.NewWriterSize(con.progress, writeBufferBytes)
	con.memory = srv.memory.Open(con.revokeMemory)
	con.files = srv.files.Open(con.closeNow)
	return con
}

// serve reads requests and starts a handler for each, until the caller leaves or the connection is
// to be closed, and then closes it.
func (con *conn) serve() {
	turn := make(chan struct{})
	close(turn)
	for {
		con.acquireSlot()
		req, err := con.next()
		if err != nil {
			con.refuse(turn, err)
			break
		}
		readAt := time.Now()
		con.awaitStream()
		if err := con.bind(); err != nil {
			con.refuse(turn, err)
			break
		}
		next := make(chan struct{})
		taken := con.taken
		number, last := con.begin(req)
		con.wait.Add(1)
		go func(turn, next chan struct{}) {
			defer con.wait.Done()
			han := newRequestHandler(con, req, turn, number, last)
			han.taken = taken
			han.run(time.Since(readAt))
			// This comes before close(next), so that the next response knows whether it is the
			// last one.
			con.end(number)
			close(next)
			<-con.slots
		}(turn, next)
		turn = next
		if last {
			// Requests behind this one are ignored, but its handler must end if the caller leaves.
			con.discardInput()
			break
		}
	}
	con.wait.Wait()
	con.shutDown()
	con.watched.Close()
	con.memory.Close()
	con.files.Close()
}

// isCloseAnnounced reports whether a response with "Connection: close" has been started.
func (con *conn) isCloseAnnounced() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.closeAnnounced
}

// announceClose records that a response with "Connection: close" is started.
func (con *conn) announceClose() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.closeAnnounced, con.reading = true, false
}

// isUnanswered reports whether a request is being read or is not answered completely.
func (con *conn) isUnanswered() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.inFlight > 0 || con.reading
}

// begin counts a new request as in flight. It returns its number and whether it is the connection's last one
// ("Connection: close" or HTTP/1.0).
func (con *conn) begin(req *http.Request) (number uint64, last bool) {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.begun++
	con.lastEnded = false
	con.inFlight++
	con.unwritten++
	con.reading = false
	return con.begun, req.Close || req.ProtoMajor == 1 && req.ProtoMinor == 0
}

// end counts a request as answered and starts the idle time when it was the only one.
func (con *conn) end(number uint64) {
	con.mut.Lock()
	defer con.mut.Unlock()
	if con.begun == number {
		con.endLast()
	}
	con.inFlight--
	con.unbind()
	if con.inFlight == 0 && !con.reading {
		con.idleSince = time.Now()
		con.setIdleDeadline(time.Now())
	}
}

// closeWhenIdle closes the connection now if it is idle, or else as soon as it becomes idle.
func (con *conn) closeWhenIdle() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.closing = true
	if con.inFlight == 0 && !con.reading {
		con.setIdleDeadline(time.Now())
	}
}

// restartIdleTime makes the idle time begin now.
func (con *conn) restartIdleTime() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.idleSince = time.Now()
}

// setIdleDeadline sets the read deadline of the idle connection: the end of its idle time, which has
// passed if the connection is to be closed, but not before earliest. con.mut must be held.
func (con *conn) setIdleDeadline(earliest time.Time) {
	con.idleDeadline = con.latestIdleDeadline()
	if con.closing || con.closeAnnounced {
		con.idleDeadline = time.Now()
	}
	if con.idleDeadline.Before(earliest) {
		con.idleDeadline = earliest
	}
	_ = con.setReadDeadline(con.idleDeadline)
}

// latestIdleDeadline returns the end of the idle time by the current settings.
func (con *conn) latestIdleDeadline() time.Time {
	return con.idleSince.Add(con.srv.Settings().IdleTimeout + idleSlack)
}

// isIdleExtended reports whether an idle connection whose deadline has passed stays open because
// the idle timeout was raised in the meantime.
func (con *conn) isIdleExtended() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.inFlight == 0 && !con.closing && !con.closeAnnounced && con.latestIdleDeadline().After(con.idleDeadline)
}

// readsNoMore reports whether a response with "Connection: close" has been started, or is certain
// to follow. Only then may further requests be ignored, since the caller learns from that response
// that they were not processed. con.mut must be held.
func (con *conn) readsNoMore() bool { return con.closeAnnounced || con.closing && con.unwritten > 0 }

// acquireSlot waits until fewer than maxPipelined requests are in flight, and takes a slot for the
// next one.
func (con *conn) acquireSlot() {
	select {
	case con.slots <- struct{}{}:
		return
	default:
	}
	taken := make(chan struct{})
	go func() {
		con.slots <- struct{}{}
		close(taken)
	}()
	con.readAhead(taken)
}

// awaitResponses waits until all requests that were read are answered.
func (con *conn) awaitResponses() {
	done := make(chan struct{})
	go func() {
		con.wait.Wait()
		close(done)
	}()
	con.readAhead(done)
}

// readAhead reads into the buffer until done is closed, so that a caller that leaves is noticed
// while no request is read.
func (con *conn) readAhead(done <-chan struct{}) {
	_ = con.setReadDeadline(time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-done
		_ = con.setReadDeadline(time.Now())
	}()
	var err error
	for err == nil {
		if _, err = con.reader.Peek(con.reader.Buffered() + 1); errors.Is(err, bufio.ErrBufferFull) {
			err = con.growBuffer(con.srv.Settings().HeaderBytes)
		}
	}
	if !isTimeout(err) && !errors.Is(err, bufio.ErrBufferFull) && !errors.Is(err, errNoMemory) {
		con.cancel()
	}
	<-ended
}

// discardInput reads and discards input until every request is answered. It cancels con.ctx if the
// caller leaves before.
func (con *conn) discardInput() {
	done := make(chan struct{})
	go func() {
		con.wait.Wait()
		_ = con.setReadDeadline(time.Now())
		close(done)
	}()
	con.mut.Lock()
	if con.inFlight > 0 {
		_ = con.setReadDeadline(time.Time{})
	}
	con.mut.Unlock()
	var sink [512]byte
	for {
		if _, err := con.reader.Read(sink[:]); err != nil {
			if !isTimeout(err) {
				con.cancel()
			}
			break
		}
	}
	<-done
}

func isTimeout(err error) bool {
	var net net.Error
	return errors.As(err, &net) && net.Timeout()
}

// errIdle is returned when the connection is to be closed and no request has been begun.
var errIdle = errors.New("the connection is idle")

// next reads the next request with its body. If it returns an error other than errIdle, the caller
// has left or was too slow, the request is malformed or too large, or the VM holds too many bodies.
func (con *conn) next() (*http.Request, error) {
	if err := con.ctx.Err(); err != nil {
		return nil, err
	}
	if err := con.awaitRequest(); err != nil {
		return nil, err
	}
	set := con.srv.Settings()
	if err := con.setReadDeadline(time.Now().Add(set.HeaderTimeout)); err != nil {
		return nil, err
	}
	req, err := con.readHead()
	if err == nil {
		err = con.readBody(req, set)
	}
	if err != nil {
		if con.isRevoked() && isTimeout(err) {
			err = errNoMemory
		}
		return nil, err
	}
	con.shrinkBuffer()
	return req, con.setReadDeadline(time.Time{})
}

// readHead reads the head of a request, after it has taken the memory for it.
func (con *conn) readHead() (*http.Request, error) {
	head, err := con.checkHead()
	if err != nil {
		return nil, err
	}
	chunked, err := checkFraming(head)
	if err != nil {
		return nil, err
	}
	con.taken = requestBytes(head)
	if !con.memory.TakePatiently(con.taken) {
		return nil, errNoMemory
	}
	con.memory.Advance(int64(len(head)))
	con.files.Advance(int64(len(head)))
	if chunked {
		// The trailer must fit into the buffer as a whole.
		if err := con.growBufferTo(con.srv.Settings().HeaderBytes); err != nil {
			return nil, err
		}
	}
	req, err := http.ReadRequest(con.reader)
	if err != nil {
		return nil, &readError{err: err}
	}
	return req, nil
}

// awaitRequest waits for the first byte of a request. It returns errIdle if no request is to be
// read any more. While the caller has yet to take a response, the connection is not idle.
func (con *conn) awaitRequest() error {
	err := con.awaitByte(0)
	for err != nil && isTimeout(err) {
		switch {
		case con.ctx.Err() != nil || con.isRevoked():
			return errIdle
		case con.isIdleExtended():
			err = con.awaitByte(0)
		case con.awaitsDelivery():
			con.restartIdleTime()
			err = con.awaitByte(deliveryInterval)
		default:
			return errIdle
		}
	}
	return err
}

// awaitByte waits for the first byte of a request until the idle deadline, but for least at least.
func (con *conn) awaitByte(least time.Duration) error {
	con.mut.Lock()
	if con.readsNoMore() {
		con.mut.Unlock()
		return con.awaitLastResponse()
	}
	if con.inFlight == 0 {
		con.setIdleDeadline(time.Now().Add(least))
	} else {
		_ = con.setReadDeadline(time.Time{})
	}
	con.mut.Unlock()
	_, err := con.reader.Peek(1)
	if err != nil {
		if !isTimeout(err) {
			con.cancel()
		}
		return err
	}
	con.mut.Lock()
	con.reading = !con.readsNoMore()
	reading := con.reading
	con.mut.Unlock()
	if !reading {
		return con.awaitLastResponse()
	}
	return nil
}

// beginResponse counts a response as started and reports whether it is to carry "Connection:
// close". It returns true if and only if that is wanted or the connection is closing, and no other
// request is in flight or being read, since those must be answered. After true no further request
// is read.
func (con *conn) beginResponse(wanted bool) bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.unwritten--
	if con.inFlight != 1 || con.reading || !wanted && !con.closing {
		return false
	}
	con.closeAnnounced = true
	return true
}

// awaitLastResponse waits until all requests are answered and returns errIdle. Input is discarded.
func (con *conn) awaitLastResponse() error {
	con.discardInput()
	return errIdle
}

// checkHead reads the head of a request into the buffer without consuming it, and checks its size. The head that it
// returns is valid until the next read.
func (con *conn) checkHead() ([]byte, error) {
	for {
		limit := con.srv.Settings().HeaderBytes
		buf, err := con.reader.Peek(con.reader.Buffered())
		if err != nil {
			return nil, err
		}
		end := headEnd(buf)
		if end > limit || end < 0 && len(buf) >= limit {
			return nil, errHeadTooLarge
		}
		if end >= 0 {
			return buf[:end], nil
		}
		if _, err := con.reader.Peek(len(buf) + 1); errors.Is(err, bufio.ErrBufferFull) {
			err = con.growBuffer(limit)
			if err != nil {
				return nil, err
			}
		} else if err != nil {
			if !isTimeout(err) {
				con.cancel()
			}
			return nil, err
		}
	}
}

// headEnd returns the length of the head including its empty line, or -1 if the head is incomplete.
func headEnd(buf []byte) int {
	if at := bytes.Index(buf, []byte("\r\n\r\n")); at >= 0 {
		return at + len("\r\n\r\n")
	}
	if at := bytes.Index(buf, []byte("\n\n")); at >= 0 {
		return at + len("\n\n")
	}
	return -1
}

// checkFraming rejects heads with both Content-Length and Transfer-Encoding, since a target that
// goes by the other header than this VM would find another end of the body (request smuggling). It reports whether the
// body may be in chunks.
func checkFraming(head []byte) (chunked bool, err error) {
	length := false
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		chunked = chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if length && chunked {
		return false, errConflictingFraming
	}
	return chunked, nil
}

// readError is returned for a request that cannot be parsed or whose body cannot be read.
type readError struct{ err error }

// Error returns the cause.
func (err *readError) Error() string { return "the request cannot be read: " + err.err.Error() }

// Unwrap returns the cause.
func (err *readError) Unwrap() error { return err.err }

// refuse answers a request that could not be read or exceeds a limit with a refusal, after the
// responses to earlier requests and if the caller is still connected. It does nothing for errIdle
// and errors of the connection.
func (con *conn) refuse(turn <-chan struct{}, err error) {
	if con.ctx.Err() != nil {
		return
	}
	ref := request.Refusal{Detail: err.Error()}
	var bad *readError
	switch {
	case errors.Is(err, errHeadTooLarge):
		ref.Reason = request.HeadTooLarge
	case errors.Is(err, errBodyTooLarge):
		ref.Reason = request.TooLarge
	case errors.Is(err, errNoMemory):
		ref.Reason, ref.RetryAfter = request.Overloaded, time.Second
	case isTimeout(err):
		ref.Reason = request.TooSlow
	case errors.Is(err, errConflictingFraming), errors.As(err, &bad):
		ref.Reason = request.Malformed
	default:
		return
	}
	con.srv.reporter.Report(con.srv.log.WithError(err), string(ref.Reason), con.raw.RemoteAddr().String(), "cannot read or accept the caller's request; refusing it if the caller is still connected and closing the connection")
	con.dropRequest()
	<-turn
	if con.ctx.Err() != nil {
		return
	}
	rsp := refusalResponse(con.srv.names, ref, "")
	rsp.close = true
	con.announceClose()
	if rsp.write(con.writer) == nil {
		_ = con.writer.Flush()
	}
}
