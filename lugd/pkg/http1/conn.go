package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldlug.example/core/request"
)

const (
	// maxPipelined bounds the requests of one connection that are answered at
	// a time.
	maxPipelined = 16
	// readBufferMargin is what is read of a head beyond its greatest size, in bytes.
	readBufferMargin = 1 << 10
	writeBuffer      = 4 << 10
	writeTimeout     = 20 * time.Second
	// idleSlack is how much longer than stated idle connections are kept.
	idleSlack = 500 * time.Millisecond
)

var (
	errHeadTooLarge       = errors.New("the head of the request is longer than this fleet takes")
	errConflictingFraming = errors.New("the request states both a length and chunks")
	errBodyTooLarge       = errors.New("the body is longer than this fleet takes")
	errNoMemory           = errors.New("the VM holds too many bodies")
)

// conn is the connection of one caller.
type conn struct {
	srv    *Server
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// ctx ends when the caller has left.
	ctx    context.Context
	cancel context.CancelFunc
	// slots holds a token for each request that is not answered.
	slots chan struct{}
	wait  sync.WaitGroup

	mut sync.Mutex
	// inFlight counts the requests that are not answered.
	inFlight int
	// unwritten counts those of which the answer has not begun.
	unwritten int
	// reading is set once a byte of the next request has arrived.
	reading bool
	// closing is set when the connection is to close once it is idle.
	closing bool
	// closeAnnounced is set once an answer has said that it is the last.
	closeAnnounced bool
	// idleSince is when the connection last became idle.
	idleSince time.Time
	// idleDeadline is the last bound that was set on waiting while idle.
	idleDeadline time.Time
}

func newConn(srv *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	set := srv.Settings()
	return &conn{
		srv: srv, raw: raw, ctx: ctx, cancel: cancel,
		reader:    bufio.NewReaderSize(raw, set.HeaderBytes+readBufferMargin),
		writer:    bufio.NewWriterSize(raw, writeBuffer),
		slots:     make(chan struct{}, maxPipelined),
		idleSince: time.Now(),
	}
}

// serve reads requests until the caller leaves or the connection is to close.
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
		next := make(chan struct{})
		last := con.begin(req)
		con.wait.Add(1)
		go func(turn, next chan struct{}) {
			defer con.wait.Done()
			newSession(con, req, turn, last).run()
			// Counted first, so that the next answer knows whether it is the last.
			con.end()
			close(next)
			<-con.slots
		}(turn, next)
		turn = next
		if last {
			// The caller sends nothing more that counts; only its leaving matters.
			con.discardInput()
			break
		}
	}
	con.wait.Wait()
	if con.isCloseAnnounced() && con.ctx.Err() == nil {
		con.lingerClose()
	}
	con.cancel()
	_ = con.raw.Close()
}

// isCloseAnnounced reports whether an answer has said that it is the last.
func (con *conn) isCloseAnnounced() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.closeAnnounced
}

// begin counts a request and reports whether it is the last of the connection.
func (con *conn) begin(req *http.Request) bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.inFlight++
	con.unwritten++
	con.reading = false
	return req.Close || req.ProtoMajor == 1 && req.ProtoMinor == 0
}

func (con *conn) end() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.inFlight--
	if con.inFlight == 0 && !con.reading {
		con.idleSince = time.Now()
		con.setIdleDeadline()
	}
}

// closeWhenIdle closes the connection now if it is idle, or else when it is.
func (con *conn) closeWhenIdle() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.closing = true
	if con.inFlight == 0 && !con.reading {
		con.setIdleDeadline()
	}
}

// setIdleDeadline bounds how long the connection stays idle: not at all if it is
// to close.
func (con *conn) setIdleDeadline() {
	con.idleDeadline = con.latestIdleDeadline()
	if con.closing || con.closeAnnounced {
		con.idleDeadline = time.Now()
	}
	_ = con.raw.SetReadDeadline(con.idleDeadline)
}

// latestIdleDeadline returns until when the connection may stay idle by the present settings.
func (con *conn) latestIdleDeadline() time.Time {
	return con.idleSince.Add(con.srv.Settings().IdleTimeout + idleSlack)
}

// isIdleExtended reports whether a connection that was idle up to its bound stays open, since
// the bound has been raised meanwhile.
func (con *conn) isIdleExtended() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.inFlight == 0 && !con.closing && !con.closeAnnounced && con.latestIdleDeadline().After(con.idleDeadline)
}

// readsNoMore reports whether an answer has said, or will say, that no further
// request is read. What is sent all the same counts as unread, and only then.
func (con *conn) readsNoMore() bool { return con.closeAnnounced || con.closing && con.unwritten > 0 }

// acquireSlot waits until a further request may run.
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

// awaitResponses waits until every request that was read is answered.
func (con *conn) awaitResponses() {
	done := make(chan struct{})
	go func() {
		con.wait.Wait()
		close(done)
	}()
	con.readAhead(done)
}

// readAhead reads into the buffer until done is closed, so that the leaving of the
// caller is seen while no request is taken.
func (con *conn) readAhead(done <-chan struct{}) {
	_ = con.raw.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-done
		_ = con.raw.SetReadDeadline(time.Now())
	}()
	var err error
	for err == nil {
		_, err = con.reader.Peek(con.reader.Buffered() + 1)
	}
	if !isTimeout(err) && !errors.Is(err, bufio.ErrBufferFull) {
		con.cancel()
	}
	<-ended
}

// discardInput waits until the caller leaves or every request is answered.
func (con *conn) discardInput() {
	done := make(chan struct{})
	go func() {
		con.wait.Wait()
		_ = con.raw.SetReadDeadline(time.Now())
		close(done)
	}()
	con.mut.Lock()
	if con.inFlight > 0 {
		_ = con.raw.SetReadDeadline(time.Time{})
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

// errIdle ends a connection on which nothing more is to come.
var errIdle = errors.New("the connection is idle")

// next reads the next request whole. Once it returns an error other than
// errIdle the caller has left or sent something that is no request.
func (con *conn) next() (*http.Request, error) {
	if err := con.ctx.Err(); err != nil {
		return nil, err
	}
	if err := con.awaitRequest(); err != nil {
		return nil, err
	}
	set := con.srv.Settings()
	if err := con.raw.SetReadDeadline(time.Now().Add(set.HeaderTimeout)); err != nil {
		return nil, err
	}
	if err := con.checkHead(); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(con.reader)
	if err != nil {
		return nil, &malformedError{err: err}
	}
	if err := con.readBody(req, set); err != nil {
		return nil, err
	}
	return req, con.raw.SetReadDeadline(time.Time{})
}

// awaitRequest waits for the first byte of a request.
func (con *conn) awaitRequest() error {
	con.mut.Lock()
	if con.readsNoMore() {
		con.mut.Unlock()
		return con.awaitLastResponse()
	}
	if con.inFlight == 0 {
		con.setIdleDeadline()
	} else {
		_ = con.raw.SetReadDeadline(time.Time{})
	}
	con.mut.Unlock()
	_, err := con.reader.Peek(1)
	if err != nil {
		if isTimeout(err) && con.isIdleExtended() {
			return con.awaitRequest()
		}
		if isTimeout(err) {
			return errIdle
		}
		con.cancel()
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

// beginResponse reports whether the answer to be written now is the last of the
// connection, and if so makes it read no further request. A request that was
// read already is always answered.
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

// awaitLastResponse waits on a connection that closes until its answers are sent.
func (con *conn) awaitLastResponse() error {
	con.discardInput()
	return errIdle
}

// checkHead reads the head into the buffer, without consuming it.
func (con *conn) checkHead() error {
	for {
		limit := con.srv.Settings().HeaderBytes
		con.growBuffer(limit)
		buf, err := con.reader.Peek(con.reader.Buffered())
		if err != nil {
			return err
		}
		end := headEnd(buf)
		if end > limit || end < 0 && len(buf) >= limit {
			return errHeadTooLarge
		}
		if end >= 0 {
			return checkFraming(buf[:end])
		}
		if _, err := con.reader.Peek(len(buf) + 1); err != nil {
			if !isTimeout(err) {
				con.cancel()
			}
			return err
		}
	}
}

// growBuffer makes the reader large enough for heads of limit bytes, since the bound may
// have been raised after the connection was accepted.
func (con *conn) growBuffer(limit int) {
	if con.reader.Size() >= limit+readBufferMargin {
		return
	}
	buffered, _ := con.reader.Peek(con.reader.Buffered()) // It cannot fail for what is there.
	con.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), con.raw), limit+readBufferMargin)
	_, _ = con.reader.Peek(len(buffered)) // Takes them over, and reads nothing else.
}

// headEnd returns the length of a head with its empty line, or -1.
func headEnd(buf []byte) int {
	if at := bytes.Index(buf, []byte("\r\n\r\n")); at >= 0 {
		return at + len("\r\n\r\n")
	}
	if at := bytes.Index(buf, []byte("\n\n")); at >= 0 {
		return at + len("\n\n")
	}
	return -1
}

// checkFraming refuses heads that targets might frame in another way.
func checkFraming(head []byte) error {
	length, chunked := false, false
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		chunked = chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if length && chunked {
		return errConflictingFraming
	}
	return nil
}

// readBody reads the body into memory, so that attempts can be repeated and no
// target waits for a slow caller.
func (con *conn) readBody(req *http.Request, set Settings) error {
	if req.ContentLength == 0 {
		return nil
	}
	if req.ContentLength > set.BodyBytes {
		return errBodyTooLarge
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		con.awaitResponses() // Earlier answers go first.
		if err := con.ctx.Err(); err != nil {
			return err
		}
		if _, err := io.WriteString(con.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			con.cancel()
			return err
		}
	}
	// A caller that waits for leave sends nothing before.
	if err := con.raw.SetReadDeadline(time.Now().Add(set.BodyTimeout)); err != nil {
		return err
	}
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, &memoryLimiter{src: io.LimitReader(req.Body, set.BodyBytes+1), srv: con.srv, limit: set.Memory}); err != nil {
		con.srv.buffered.Add(-int64(buf.Len()))
		if errors.Is(err, errNoMemory) {
			return err
		}
		if !isTimeout(err) && !errors.Is(err, http.ErrBodyReadAfterClose) {
			con.cancel()
		}
		return &malformedError{err: err}
	}
	if int64(buf.Len()) > set.BodyBytes {
		con.srv.buffered.Add(-int64(buf.Len()))
		return errBodyTooLarge
	}
	req.Body = &bufferedBody{Reader: bytes.NewReader(buf.Bytes()), content: buf.Bytes()}
	return nil
}

// memoryLimiter counts the bytes of bodies against what the VM may hold.
type memoryLimiter struct {
	src   io.Reader
	srv   *Server
	limit int64
}

// Read fails when the VM holds too much.
func (lim *memoryLimiter) Read(buf []byte) (int, error) {
	cnt, err := lim.src.Read(buf)
	if lim.srv.buffered.Add(int64(cnt)) > lim.limit && lim.limit > 0 {
		lim.srv.buffered.Add(-int64(cnt))
		return 0, errNoMemory
	}
	return cnt, err
}

// bufferedBody is a body in memory.
type bufferedBody struct {
	*bytes.Reader
	content []byte
}

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// malformedError is a request that cannot be read.
type malformedError struct{ err error }

// Error returns the cause.
func (err *malformedError) Error() string { return "the request cannot be read: " + err.err.Error() }

// Unwrap returns the cause.
func (err *malformedError) Unwrap() error { return err.err }

// refuse answers what is no request, in its turn, if the caller is still there.
func (con *conn) refuse(turn <-chan struct{}, err error) {
	ref := request.Refusal{Detail: err.Error()}
	var bad *malformedError
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
	con.srv.log.WithError(err).WithField("caller", con.raw.RemoteAddr().String()).Info("request refused unread")
	<-turn
	if con.ctx.Err() != nil {
		return
	}
	_ = con.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	rsp := refusalResponse(con.srv.names, ref, "")
	rsp.close = true
	if rsp.write(con.writer) == nil {
		_ = con.writer.Flush()
	}
	con.lingerClose()
}

// lingerClose lets the caller read the last answer before bytes that nobody reads
// reset the connection, which would cut what is still on its way.
func (con *conn) lingerClose() {
	if half, ok := con.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = con.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(con.raw, lingerBytes))
}

const (
	// lingerTime is shorter than a VM that stops has left after its last answers.
	lingerTime  = 400 * time.Millisecond
	lingerBytes = 1 << 20
)
