package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"time"

	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// ConnectionBytes is what a connection at rest holds, in bytes: its two buffers, and the stack of its goroutine with
	// what belongs to it.
	ConnectionBytes = readBufferBytes + writeBufferBytes + 8<<10
	// fieldBytes is what a field of a parsed head takes in addition to its own bytes: about 90 bytes for its place in the map,
	// its list of values and its name, in the caller's request and in up to two attempts; 40 while the fields of an
	// attempt are sorted; and as much again for the smaller maps and lists that were replaced as the head was parsed, until
	// they are collected.
	fieldBytes = 512
	// responseBytes is what the response to a request may take that is not accounted for apart: the part that is
	// read whole before any of it is passed on (bodyPrefixBytes of package edge).
	responseBytes = 64 << 10
)

// requestBytes is what a request with this head takes, without its body.
func requestBytes(head []byte) int64 {
	return responseBytes + int64(2*len(head)) + fieldBytes*int64(bytes.Count(head, []byte{'\n'}))
}

// SmallRequestBytes and SmallRequestFiles are what a connection has that counts as small: itself, with one request of few fields.
const (
	SmallRequestBytes = ConnectionBytes + responseBytes + 32<<10
	SmallRequestFiles = 2
)

// admit takes what the connection itself holds, and reports false if there is no room for it.
func (con *conn) admit() bool {
	if !con.files.Take(1) {
		con.reportTooMany()
		return false
	}
	if !con.memory.Take(ConnectionBytes) || !con.memory.Bind(ConnectionBytes) {
		con.srv.reporter.Report(con.srv.log, "memory", con.raw.RemoteAddr().String(), "the VM holds as much for callers as it may; closing a connection")
		return false
	}
	return true
}

// reportTooMany reports that the connection is closed since its descriptor is needed.
func (con *conn) reportTooMany() {
	con.srv.reporter.Report(con.srv.log, "connections", con.raw.RemoteAddr().String(), "the VM has as many connections of callers as it may; closing one")
}

// discard closes a connection that is not served.
func (con *conn) discard() {
	con.cancel()
	_ = con.raw.Close()
	con.memory.Close()
	con.files.Close()
}

// closeNow closes the connection since its descriptor is needed. No request is in flight.
func (con *conn) closeNow() {
	con.reportTooMany()
	con.cancel()
	socket.Close(con.raw)
}

// revokeMemory makes the goroutine of the connection give up the request that it reads.
func (con *conn) revokeMemory() {
	con.mut.Lock()
	con.closing = true
	con.mut.Unlock()
	con.deadlineMut.Lock()
	defer con.deadlineMut.Unlock()
	con.revoked = true
	_ = con.raw.SetReadDeadline(time.Now())
}

func (con *conn) isRevoked() bool {
	con.deadlineMut.Lock()
	defer con.deadlineMut.Unlock()
	return con.revoked
}

// setReadDeadline sets the deadline for reads, which has passed if the request that is read must be given up, or nothing more is
// read.
func (con *conn) setReadDeadline(end time.Time) error {
	con.deadlineMut.Lock()
	defer con.deadlineMut.Unlock()
	if con.revoked || con.readsEnded {
		end = time.Now()
	}
	return con.raw.SetReadDeadline(end)
}

// stopReading makes the goroutine of the connection read nothing more.
func (con *conn) stopReading() {
	con.deadlineMut.Lock()
	defer con.deadlineMut.Unlock()
	con.readsEnded = true
	_ = con.raw.SetReadDeadline(time.Now())
}

// bind takes a descriptor for a request that was read, and keeps what it holds until unbind and the end of its
// handler. It returns errNoMemory if the request must not be begun.
func (con *conn) bind() error {
	if !con.files.TakePatiently(1) {
		return errNoMemory
	}
	con.mut.Lock()
	defer con.mut.Unlock()
	own := int64(0)
	if con.bound == 0 {
		own = 1
	}
	if !con.files.Bind(1 + own) {
		con.files.Give(1)
		return errNoMemory
	}
	if !con.memory.Bind(con.taken) {
		con.files.Loosen(own)
		con.files.GiveBound(1)
		return errNoMemory
	}
	con.bound++
	return nil
}

// unbind gives back the descriptor of a request that is answered, and makes that of the connection loose if there is no
// other request. con.mut must be held.
func (con *conn) unbind() {
	con.bound--
	con.files.GiveBound(1)
	if con.bound == 0 {
		con.files.Loosen(1)
	}
}

// dropRequest gives back what is held for the request that is being read.
func (con *conn) dropRequest() { con.memory.Give(con.taken + con.grown) }

// growBuffer doubles the read buffer, up to what heads of limit bytes need. It returns bufio.ErrBufferFull if the
// buffer is as large already.
func (con *conn) growBuffer(limit int) error {
	size := min(2*con.reader.Size(), limit+readBufferMargin)
	more := size - con.reader.Size()
	if more <= 0 {
		return bufio.ErrBufferFull
	}
	if !con.memory.Take(int64(more)) {
		return errNoMemory
	}
	con.grown += int64(more)
	con.replaceBuffer(size)
	return nil
}

// growBufferTo makes the read buffer as large as heads of limit bytes need.
func (con *conn) growBufferTo(limit int) error {
	for {
		if err := con.growBuffer(limit); errors.Is(err, bufio.ErrBufferFull) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// shrinkBuffer replaces a buffer that was grown by a small one, once what it holds fits there.
func (con *conn) shrinkBuffer() {
	if con.grown == 0 || con.reader.Buffered() > readBufferBytes {
		return
	}
	con.replaceBuffer(readBufferBytes)
	con.memory.Give(con.grown)
	con.grown = 0
}

// replaceBuffer makes the read buffer one of another size with the same content. The reader itself stays the same one: a body that
// has yet to be read is bound to it.
func (con *conn) replaceBuffer(size int) {
	buffered, _ := con.reader.Peek(con.reader.Buffered()) // Peek of buffered bytes cannot fail.
	src := &prefixedReader{prefix: buffered, conn: con.raw}
	resized := bufio.NewReaderSize(src, size)
	_, _ = resized.Peek(len(buffered)) // Copies these bytes and reads nothing from the connection.
	src.prefix = nil
	*con.reader = *resized
}

// prefixedReader reads a prefix and then from a connection.
type prefixedReader struct {
	prefix []byte
	conn   net.Conn
}

// Read implements io.Reader.
func (rdr *prefixedReader) Read(buf []byte) (int, error) {
	if len(rdr.prefix) == 0 {
		return rdr.conn.Read(buf)
	}
	cnt := copy(buf, rdr.prefix)
	rdr.prefix = rdr.prefix[cnt:]
	return cnt, nil
}
