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
	// readBuffer is what is read of a head beyond its greatest size, in bytes.
	readBuffer   = 1 << 10
	writeBuffer  = 4 << 10
	writeTimeout = 20 * time.Second
	// idleSlack is how much longer than stated idle connections are kept.
	idleSlack = 500 * time.Millisecond
)

var (
	errHeadTooLarge = errors.New("the head of the request is longer than this fleet takes")
	errTwoFramings  = errors.New("the request states both a length and chunks")
	errBodyTooLarge = errors.New("the body is longer than this fleet takes")
	errNoMemory     = errors.New("the VM holds too many bodies")
)

// conn is the connection of one caller.
type conn struct {
	srv    *Server
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// ctx ends when the caller has left.
	ctx  context.Context
	left context.CancelFunc
	// slots holds a token for each request that is not answered.
	slots chan struct{}
	wait  sync.WaitGroup

	mut sync.Mutex
	// open counts the requests that are not answered.
	open int
	// unwritten counts those of which the answer has not begun.
	unwritten int
	// reading is set once a byte of the next request has arrived.
	reading bool
	// closing is set when the connection is to close once it is idle.
	closing bool
	// told is set once an answer has said that it is the last.
	told bool
	// idle is when the connection last became idle.
	idle time.Time
	// until is the last bound that was set on waiting while idle.
	until time.Time
}

func newConn(srv *Server, raw net.Conn) *conn {
	ctx, left := context.WithCancel(context.Background())
	set := srv.Settings()
	return &conn{
		srv: srv, raw: raw, ctx: ctx, left: left,
		reader: bufio.NewReaderSize(raw, set.HeaderBytes+readBuffer),
		writer: bufio.NewWriterSize(raw, writeBuffer),
		slots:  make(chan struct{}, maxPipelined),
		idle:   time.Now(),
	}
}

// serve reads requests until the caller leaves or the connection is to close.
func (con *conn) serve() {
	turn := make(chan struct{})
	close(turn)
	for {
		con.awaitSlot()
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
			con.watch()
			break
		}
	}
	con.wait.Wait()
	if con.wasTold() && con.ctx.Err() == nil {
		con.lingerClose()
	}
	con.left()
	_ = con.raw.Close()
}

// wasTold reports whether an answer has said that it is the last.
func (con *conn) wasTold() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.told
}

// begin counts a request and reports whether it is the last of the connection.
func (con *conn) begin(req *http.Request) bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.open++
	con.unwritten++
	con.reading = false
	return req.Close || req.ProtoMajor == 1 && req.ProtoMinor == 0
}

func (con *conn) end() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.open--
	if con.open == 0 && !con.reading {
		con.idle = time.Now()
		con.setIdleDeadline()
	}
}

// closeIdle closes the connection now if it is idle, or else when it is.
func (con *conn) closeIdle() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.closing = true
	if con.open == 0 && !con.reading {
		con.setIdleDeadline()
	}
}

// setIdleDeadline bounds how long the connection stays idle: not at all if it is
// to close.
func (con *conn) setIdleDeadline() {
	con.until = con.idleBound()
	if con.closing || con.told {
		con.until = time.Now()
	}
	_ = con.raw.SetReadDeadline(con.until)
}

// idleBound returns until when the connection may stay idle by the present settings.
func (con *conn) idleBound() time.Time {
	return con.idle.Add(con.srv.Settings().IdleTimeout + idleSlack)
}

// staysIdle reports whether a connection that was idle up to its bound stays open, since
// the bound has been raised meanwhile.
func (con *conn) staysIdle() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	return con.open == 0 && !con.closing && !con.told && con.idleBound().After(con.until)
}

// readsNoMore reports whether an answer has said, or will say, that no further
// request is read. What is sent all the same counts as unread, and only then.
func (con *conn) readsNoMore() bool { return con.told || con.closing && con.unwritten > 0 }

// awaitSlot waits until a further request may run.
func (con *conn) awaitSlot() {
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

// awaitAnswers waits until every request that was read is answered.
func (con *conn) awaitAnswers() {
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
		con.left()
	}
	<-ended
}

// watch waits until the caller leaves or every request is answered.
func (con *conn) watch() {
	done := make(chan struct{})
	go func() {
		con.wait.Wait()
		_ = con.raw.SetReadDeadline(time.Now())
		close(done)
	}()
	con.mut.Lock()
	if con.open > 0 {
		_ = con.raw.SetReadDeadline(time.Time{})
	}
	con.mut.Unlock()
	var sink [512]byte
	for {
		if _, err := con.reader.Read(sink[:]); err != nil {
			if !isTimeout(err) {
				con.left()
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
	if err := con.awaitFirst(); err != nil {
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

// awaitFirst waits for the first byte of a request.
func (con *conn) awaitFirst() error {
	con.mut.Lock()
	if con.readsNoMore() {
		con.mut.Unlock()
		return con.awaitLeaving()
	}
	if con.open == 0 {
		con.setIdleDeadline()
	} else {
		_ = con.raw.SetReadDeadline(time.Time{})
	}
	con.mut.Unlock()
	_, err := con.reader.Peek(1)
	if err != nil {
		if isTimeout(err) && con.staysIdle() {
			return con.awaitFirst()
		}
		if isTimeout(err) {
			return errIdle
		}
		con.left()
		return err
	}
	con.mut.Lock()
	con.reading = !con.readsNoMore()
	reading := con.reading
	con.mut.Unlock()
	if !reading {
		return con.awaitLeaving()
	}
	return nil
}

// mayClose reports whether the answer to be written now is the last of the
// connection, and if so makes it read no further request. A request that was
// read already is always answered.
func (con *conn) mayClose(wanted bool) bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.unwritten--
	if con.open != 1 || con.reading || !wanted && !con.closing {
		return false
	}
	con.told = true
	return true
}

// awaitLeaving waits on a connection that closes until its answers are sent.
func (con *conn) awaitLeaving() error {
	con.watch()
	return errIdle
}

// checkHead reads the head into the buffer, without consuming it.
func (con *conn) checkHead() error {
	for {
		limit := con.srv.Settings().HeaderBytes
		con.makeRoom(limit)
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
				con.left()
			}
			return err
		}
	}
}

// makeRoom makes the reader large enough for heads of limit bytes, since the bound may
// have been raised after the connection was accepted.
func (con *conn) makeRoom(limit int) {
	if con.reader.Size() >= limit+readBuffer {
		return
	}
	held, _ := con.reader.Peek(con.reader.Buffered()) // It cannot fail for what is there.
	con.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(held), con.raw), limit+readBuffer)
	_, _ = con.reader.Peek(len(held)) // Takes them over, and reads nothing else.
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
		return errTwoFramings
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
		con.awaitAnswers() // Earlier answers go first.
		if err := con.ctx.Err(); err != nil {
			return err
		}
		if _, err := io.WriteString(con.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			con.left()
			return err
		}
	}
	// A caller that waits for leave sends nothing before.
	if err := con.raw.SetReadDeadline(time.Now().Add(set.BodyTimeout)); err != nil {
		return err
	}
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, &meter{src: io.LimitReader(req.Body, set.BodyBytes+1), srv: con.srv, limit: set.Memory}); err != nil {
		con.srv.held.Add(-int64(buf.Len()))
		if errors.Is(err, errNoMemory) {
			return err
		}
		if !isTimeout(err) && !errors.Is(err, http.ErrBodyReadAfterClose) {
			con.left()
		}
		return &malformedError{err: err}
	}
	if int64(buf.Len()) > set.BodyBytes {
		con.srv.held.Add(-int64(buf.Len()))
		return errBodyTooLarge
	}
	req.Body = &heldBody{Reader: bytes.NewReader(buf.Bytes()), content: buf.Bytes()}
	return nil
}

// meter counts the bytes of bodies against what the VM may hold.
type meter struct {
	src   io.Reader
	srv   *Server
	limit int64
}

// Read fails when the VM holds too much.
func (mtr *meter) Read(buf []byte) (int, error) {
	cnt, err := mtr.src.Read(buf)
	if mtr.srv.held.Add(int64(cnt)) > mtr.limit && mtr.limit > 0 {
		mtr.srv.held.Add(-int64(cnt))
		return 0, errNoMemory
	}
	return cnt, err
}

// heldBody is a body in memory.
type heldBody struct {
	*bytes.Reader
	content []byte
}

// Close does nothing.
func (*heldBody) Close() error { return nil }

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
	case errors.Is(err, errTwoFramings), errors.As(err, &bad):
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
	ans := refusalAnswer(con.srv.names, ref, "")
	ans.close = true
	if ans.write(con.writer) == nil {
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
