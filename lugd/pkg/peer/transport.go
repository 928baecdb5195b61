package peer

import (
	"bufio"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/member"
	"marigoldlug.example/lugd/pkg/budget"
)

const (
	// queueLength is how many messages to one VM are queued at most.
	queueLength = 1024
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds the time for writing a message, and is the TCP user timeout of
	// connections to other VMs: how long sent bytes may stay unacknowledged.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long a connection without messages is kept open.
	idleTimeout = time.Minute
	// redialDelay has two uses: a connection that fails within redialDelay of being dialled
	// is not replaced at once, and it is the pause after such a failure, before the queue is
	// dropped and the VM can be dialled again.
	redialDelay = 250 * time.Millisecond
	// silenceTimeout is how long a VM may leave messages unanswered until the connection to it is
	// replaced.
	silenceTimeout = 1500 * time.Millisecond
	// stateTimeout bounds the time in which QueryStates waits for answers.
	stateTimeout = time.Second
	// helloTimeout is how long a VM that has opened a connection may take to send its hello, the first frame, which says which
	// VM it is. VMs send it at once.
	helloTimeout = 5 * time.Second
	// maxHelloSize is the greatest size in bytes of a hello or of a reply to one. These have the names and addresses of two
	// VMs, and are never compressed, since compressFrom is as large.
	maxHelloSize = compressFrom
	// firstPartBytes is how much of a frame is read at first.
	firstPartBytes = 4 << 10
	// frameHeaderSize is the size in bytes of the length in front of a payload.
	frameHeaderSize = 4
	// acceptRetryDelay is the pause after a failure to accept a connection.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptQuietTime is how long accepting must not have failed until the next failure
	// is logged again.
	acceptQuietTime = time.Second
)

// handler handles what arrives from other VMs.
type handler interface {
	// Received handles a message of one of the core packages.
	Received(from string, msg any)
	// PeerExited is called when the process of a VM has exited: another one, with another
	// ID, answers at its address. successor is that one, with an empty ID if it does not
	// say so.
	PeerExited(id string, successor member.VM)
	// State returns the state that this VM reports to other VMs.
	State() State
	// Address returns the address of a VM, if it is known.
	Address(id string) (string, bool)
}

// identity provides the TLS configurations by which VMs authenticate each other.
type identity interface {
	ServerConfig(mutual bool) *tls.Config
	ClientConfig() *tls.Config
}

var errNoMemory = errors.New("the VM holds as much for other VMs as it may")

// Transport sends messages to other VMs and delivers theirs to a handler. Messages may
// be lost, but messages from one VM to another arrive in order. It is safe for concurrent
// use.
type Transport struct {
	self     member.VM
	handler  handler
	log      logrus.FieldLogger
	listener net.Listener
	// memory is what frames may take while they are being read.
	memory *budget.Budget
	// identity is nil if VMs communicate without TLS.
	identity identity
	// forwarder is nil if this VM does not forward requests.
	forwarder forwarder

	// sent and received count bytes.
	sent     atomic.Int64
	received atomic.Int64

	// queryMut is held by the call of QueryStates in progress.
	queryMut sync.Mutex

	mut sync.Mutex
	// sendQueues are the queues of messages to other VMs, by the VM's ID.
	sendQueues map[string]*sendQueue
	// addresses are the addresses set by AddAddress and by the hellos of VMs, by the VM's ID.
	addresses map[string]string
	// answers receives the answers for the last call of QueryStates; nil before the first.
	answers chan State
	// inbound are the accepted connections, and inboundFrom the latest of them by the ID of the VM
	// that opened it.
	inbound     map[net.Conn]bool
	inboundFrom map[string]net.Conn
	closed      bool
	// wait counts the goroutines of connections and queues.
	wait sync.WaitGroup
}

// New returns a transport that accepts connections from lis and takes the memory for what it reads from mem.
func New(self member.VM, lis net.Listener, mem *budget.Budget, han handler, log logrus.FieldLogger) *Transport {
	return &Transport{
		self: self, handler: han, log: log, listener: lis, memory: mem,
		sendQueues: make(map[string]*sendQueue), addresses: make(map[string]string),
		inbound: make(map[net.Conn]bool), inboundFrom: make(map[string]net.Conn),
	}
}

// UseTLS makes every connection use mutual TLS. It must be called before Serve.
func (trn *Transport) UseTLS(idt identity) {
	trn.identity = idt
	trn.listener = tls.NewListener(trn.listener, idt.ServerConfig(true))
}

// Bytes returns the bytes sent and received so far.
func (trn *Transport) Bytes() (sent, received int64) { return trn.sent.Load(), trn.received.Load() }

// Serve accepts connections until Close. Since other VMs can reach this one in no other
// way, it retries after failures, for instance when the process is out of file
// descriptors for a moment.
func (trn *Transport) Serve() {
	var lastFailure time.Time
	for {
		con, err := trn.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if time.Since(lastFailure) > acceptQuietTime {
				trn.log.WithError(err).Warn("cannot accept connections of other VMs; retrying")
			}
			lastFailure = time.Now()
			time.Sleep(acceptRetryDelay)
			continue
		}
		trn.mut.Lock()
		if trn.closed {
			trn.mut.Unlock()
			_ = con.Close()
			return
		}
		trn.inbound[con] = true
		trn.wait.Add(1)
		trn.mut.Unlock()
		go trn.serve(con)
	}
}

// Close closes the listener and the incoming connections, sends what is queued and waits
// for all goroutines.
func (trn *Transport) Close() {
	trn.mut.Lock()
	trn.closed = true
	_ = trn.listener.Close()
	for con := range trn.inbound {
		_ = con.Close()
	}
	for id, que := range trn.sendQueues {
		close(que.messages)
		delete(trn.sendQueues, id)
	}
	trn.mut.Unlock()
	trn.wait.Wait()
}

// Send queues a message. The message is lost if the queue is full or the VM cannot be
// reached.
func (trn *Transport) Send(to string, msg any) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if trn.closed {
		return
	}
	que := trn.sendQueues[to]
	if que == nil {
		address, found := trn.address(to)
		if !found {
			return
		}
		que = newSendQueue()
		trn.sendQueues[to] = que
		trn.wait.Add(1)
		go trn.runQueue(to, address, que)
	}
	que.noteSent(time.Now(), msg)
	select {
	case que.messages <- msg:
	default:
		trn.log.WithField("to", to).Debug("the queue of messages to the VM is full; message lost")
	}
}

// address returns the address of a VM that the handler knows, or else the one that
// AddAddress or the VM's own hello has set.
func (trn *Transport) address(to string) (string, bool) {
	if address, found := trn.handler.Address(to); found {
		return address, true
	}
	address, found := trn.addresses[to]
	return address, found
}

// AddAddress sets the address of a VM that the handler does not know yet.
func (trn *Transport) AddAddress(id, address string) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	trn.addresses[id] = address
}

// readFrame returns the payload of the next frame, which must not be longer than limit. It takes the memory for
// each part of it from shr before it reads it.
func (trn *Transport) readFrame(src io.Reader, shr *budget.Share, limit int) ([]byte, error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(src, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if int64(size) > int64(limit) {
		return nil, fmt.Errorf("%w: its payload of %d bytes exceeds the limit of %d bytes", errMalformed, size, limit)
	}
	payload, err := readParts(src, int(size), shr)
	trn.received.Add(int64(len(payload)) + frameHeaderSize)
	return payload, err
}

// readParts reads size bytes. The buffer begins with firstPartBytes and doubles, so that little is taken for what does
// not come.
func readParts(src io.Reader, size int, shr *budget.Share) ([]byte, error) {
	var out []byte
	for done := 0; done < size; {
		length := min(max(2*done, firstPartBytes), size)
		if !shr.Take(int64(length)) {
			return nil, errNoMemory
		}
		next := make([]byte, length)
		copy(next, out)
		shr.Give(int64(len(out)))
		out = next
		cnt, err := io.ReadFull(src, out[done:])
		shr.Advance(int64(cnt))
		if err != nil {
			return nil, err
		}
		done += cnt
	}
	return out, nil
}

// serve delivers the messages of one incoming connection.
func (trn *Transport) serve(con net.Conn) {
	defer trn.wait.Done()
	from := ""
	defer func() {
		_ = con.Close()
		trn.forgetInbound(from, con)
	}()
	shr := trn.memory.Open(func() { _ = con.Close() })
	defer shr.Close()
	src := bufio.NewReader(con)
	from, err := trn.readHello(con, src, shr)
	if err == nil {
		trn.noteInbound(from, con)
	}
	for err == nil {
		var payload []byte
		if payload, err = trn.readFrame(src, shr, maxFrameSize); err == nil {
			err = trn.deliver(from, payload)
			shr.Give(int64(len(payload)))
		}
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		trn.log.WithError(err).WithField("from", from).Debug("the connection from another VM ended")
	}
}

// noteInbound records the connection that a VM has opened. If an earlier one of the VM is still open,
// the VM replaces it since it did not hear of this one: what this VM sends to it may be lost, too, so
// that connection is replaced as well.
func (trn *Transport) noteInbound(from string, con net.Conn) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if _, open := trn.inboundFrom[from]; open {
		if que := trn.sendQueues[from]; que != nil {
			que.requestRenewal()
		}
	}
	trn.inboundFrom[from] = con
}

// forgetInbound records the end of a connection that a VM has opened; from is empty if the VM is not
// known.
func (trn *Transport) forgetInbound(from string, con net.Conn) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	delete(trn.inbound, con)
	if trn.inboundFrom[from] == con {
		delete(trn.inboundFrom, from)
	}
}

// noteAnswered records that a VM has answered a message. What it sends by itself says nothing of the
// connection to it, since each direction has one of its own.
func (trn *Transport) noteAnswered(from string) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if que := trn.sendQueues[from]; que != nil {
		que.unansweredSince = time.Time{}
	}
}

// readHello reads the hello that opens a connection and returns the ID of the sender.
// If the hello is for another VM, it answers with wrongVM and with its own identity, and
// returns an error. A connection on which requests are to be forwarded is served to its end.
func (trn *Transport) readHello(con net.Conn, src io.Reader, shr *budget.Share) (string, error) {
	if err := con.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", err
	}
	payload, err := trn.readFrame(src, shr, maxHelloSize)
	if err != nil {
		return "", err
	}
	if err := con.SetReadDeadline(time.Time{}); err != nil {
		return "", err
	}
	shr.Give(int64(len(payload)))
	if isCompressed(payload) {
		return "", fmt.Errorf("%w: a compressed hello", errMalformed)
	}
	if !budget.Pin(con) {
		return "", net.ErrClosed
	}
	msg, err := decode(payload)
	if err != nil {
		return "", err
	}
	if fwd, is := msg.(forwardHello); is {
		return "", trn.forward(con, src, fwd)
	}
	hel, ok := msg.(hello)
	if !ok || hel.Version != protocolVersion {
		return "", fmt.Errorf("%w: expected a hello of protocol version %d", errMalformed, protocolVersion)
	}
	if hel.To != trn.self.ID && hel.To != "" {
		wrt := bufio.NewWriter(con)
		for _, msg := range []any{wrongVM{}, successor{VM: trn.self}} {
			if err := trn.writeFrame(con, wrt, msg); err != nil {
				return hel.From.ID, err
			}
		}
		if err := wrt.Flush(); err != nil {
			return hel.From.ID, err
		}
		return hel.From.ID, fmt.Errorf("hello is for VM %q, but this is %q", hel.To, trn.self.ID)
	}
	trn.AddAddress(hel.From.ID, hel.From.Address)
	return hel.From.ID, nil
}

// deliver handles the messages of this package and passes all others to the handler.
func (trn *Transport) deliver(from string, payload []byte) error {
	msg, err := decode(payload)
	if err != nil {
		return err
	}
	if isAnswer(msg) {
		trn.noteAnswered(from)
	}
	switch msg := msg.(type) {
	case stateQuery:
		trn.Send(from, trn.handler.State())
	case State:
		trn.handleState(msg)
	case hello, wrongVM, successor, forwardHello, forwardReady:
		return errMalformed
	default:
		trn.handler.Received(from, msg)
	}
	return nil
}
