package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/member"
)

const (
	queueLength  = 1024
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	idleTime     = time.Minute
	redialTime   = 250 * time.Millisecond
	chunkTimeout = 2 * time.Second
	stateTimeout = time.Second
	frameHeader  = 4
)

// anyVM precedes an address in place of the ID of a VM that is not known.
const anyVM = "any@"

var errNoChunk = errors.New("the VM does not hold the chunk")

// handler takes what arrives from other VMs.
type handler interface {
	// Received takes a message of one of the core packages.
	Received(from string, msg any)
	// PeerGone notes that a VM has ended, since another runs at its address.
	PeerGone(id string)
	// Chunk returns the content of a chunk that this VM holds.
	Chunk(id chunk.ID) []byte
	// State returns what this VM says of itself.
	State() State
	// Address returns where a VM is reached.
	Address(id string) (string, bool)
}

// identity proves to other VMs that this one belongs to the fleet.
type identity interface {
	Server(mutual bool) *tls.Config
	Client() *tls.Config
}

// Transport sends messages to other VMs and delivers theirs. Messages may be
// lost, but those between two VMs keep their order. It is safe for concurrent
// use.
type Transport struct {
	self    member.VM
	handler handler
	log     logrus.FieldLogger
	listen  net.Listener
	// identity is nil where VMs speak plain text.
	identity identity

	// sent and received count bytes.
	sent     atomic.Int64
	received atomic.Int64

	// asking is held by the call of States under way.
	asking sync.Mutex

	mut     sync.Mutex
	links   map[string]*link
	book    map[string]string
	chunks  map[chunk.ID][]chan []byte
	states  chan State
	inbound map[net.Conn]bool
	closed  bool
	wait    sync.WaitGroup
}

// link is the queue of messages to one VM and the goroutine that sends them.
type link struct {
	queue chan any
}

// New returns a transport that accepts connections from lis.
func New(self member.VM, lis net.Listener, han handler, log logrus.FieldLogger) *Transport {
	return &Transport{
		self: self, handler: han, log: log, listen: lis,
		links: make(map[string]*link), book: make(map[string]string),
		chunks: make(map[chunk.ID][]chan []byte), inbound: make(map[net.Conn]bool),
	}
}

// Secure makes every connection use mutual TLS. It is called before Serve.
func (trn *Transport) Secure(idt identity) {
	trn.identity = idt
	trn.listen = tls.NewListener(trn.listen, idt.Server(true))
}

// connect opens a connection to an address.
func (trn *Transport) connect(address string) (net.Conn, error) {
	dlr := &net.Dialer{Timeout: dialTimeout}
	if trn.identity == nil {
		return dlr.Dial("tcp", address)
	}
	return tls.DialWithDialer(dlr, "tcp", address, trn.identity.Client())
}

// Bytes returns the bytes sent and received so far.
func (trn *Transport) Bytes() (sent, received int64) { return trn.sent.Load(), trn.received.Load() }

// Serve accepts connections until Close.
func (trn *Transport) Serve() {
	for {
		con, err := trn.listen.Accept()
		if err != nil {
			return
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

// Close ends every connection and waits for the goroutines.
func (trn *Transport) Close() {
	trn.mut.Lock()
	trn.closed = true
	_ = trn.listen.Close()
	for con := range trn.inbound {
		_ = con.Close()
	}
	for id, lnk := range trn.links {
		close(lnk.queue)
		delete(trn.links, id)
	}
	trn.mut.Unlock()
	trn.wait.Wait()
}

// Send queues a message. It is lost if the queue is full or the VM cannot be
// reached.
func (trn *Transport) Send(to string, msg any) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if trn.closed {
		return
	}
	lnk := trn.links[to]
	if lnk == nil {
		address, found := trn.address(to)
		if !found {
			return
		}
		lnk = &link{queue: make(chan any, queueLength)}
		trn.links[to] = lnk
		trn.wait.Add(1)
		go trn.run(to, address, lnk)
	}
	select {
	case lnk.queue <- msg:
	default:
		trn.log.WithField("to", to).Debug("queue is full; message lost")
	}
}

// address prefers the view to what a VM said of itself.
func (trn *Transport) address(to string) (string, bool) {
	if address, found := trn.handler.Address(to); found {
		return address, true
	}
	address, found := trn.book[to]
	return address, found
}

// Introduce makes the address of a VM known that is in no view yet.
func (trn *Transport) Introduce(id, address string) {
	trn.mut.Lock()
	defer trn.mut.Unlock()
	trn.book[id] = address
}

// run sends the messages of one link until it is idle or the VM is not reached.
func (trn *Transport) run(to, address string, lnk *link) {
	defer trn.wait.Done()
	err := trn.runLink(to, address, lnk)
	if err != nil {
		trn.log.WithError(err).WithField("to", to).Debug("link ended")
		time.Sleep(redialTime)
	}
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if trn.links[to] == lnk {
		delete(trn.links, to)
	}
}

func (trn *Transport) runLink(to, address string, lnk *link) error {
	con, err := trn.connect(address)
	if err != nil {
		return err
	}
	defer func() { _ = con.Close() }()
	trn.wait.Add(1)
	go trn.watchStranger(con, to)
	wrt := bufio.NewWriter(con)
	if err := trn.write(con, wrt, hello{Version: protocolVersion, From: trn.self, To: meant(to)}); err != nil {
		return err
	}
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case msg, open := <-lnk.queue:
			if !open {
				return wrt.Flush()
			}
			if err := trn.write(con, wrt, msg); err != nil {
				return err
			}
			if len(lnk.queue) == 0 {
				if err := wrt.Flush(); err != nil {
					return err
				}
			}
			idle.Reset(idleTime)
		case <-idle.C:
			return nil
		}
	}
}

// meant returns the ID that a hello names, none for whatever VM listens.
func meant(to string) string {
	if strings.HasPrefix(to, anyVM) {
		return ""
	}
	return to
}

// watchStranger waits for the only frame that the receiver of a link sends
// back, and closes the link when the receiver closes it.
func (trn *Transport) watchStranger(con net.Conn, to string) {
	defer trn.wait.Done()
	defer func() { _ = con.Close() }()
	payload, err := trn.read(bufio.NewReader(con))
	if err != nil {
		return
	}
	if msg, err := decode(payload); err == nil {
		if _, gone := msg.(stranger); gone {
			trn.handler.PeerGone(to)
		}
	}
}

func (trn *Transport) write(con net.Conn, wrt *bufio.Writer, msg any) error {
	payload, err := encode(msg)
	if err != nil {
		return err
	}
	if len(payload) > maxFrame {
		return fmt.Errorf("frame of %d bytes is longer than %d", len(payload), maxFrame)
	}
	if err := con.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	var head [frameHeader]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(payload)))
	if _, err := wrt.Write(head[:]); err != nil {
		return err
	}
	_, err = wrt.Write(payload)
	trn.sent.Add(int64(len(payload) + frameHeader))
	return err
}

func (trn *Transport) read(src io.Reader) ([]byte, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(src, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", errMalformed, size)
	}
	payload := make([]byte, size)
	_, err := io.ReadFull(src, payload)
	trn.received.Add(int64(size) + frameHeader)
	return payload, err
}

// serve delivers the messages of one connection.
func (trn *Transport) serve(con net.Conn) {
	defer trn.wait.Done()
	defer func() {
		_ = con.Close()
		trn.mut.Lock()
		delete(trn.inbound, con)
		trn.mut.Unlock()
	}()
	src := bufio.NewReader(con)
	from, err := trn.greet(con, src)
	for err == nil {
		var payload []byte
		if payload, err = trn.read(src); err == nil {
			err = trn.deliver(from, payload)
		}
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		trn.log.WithError(err).WithField("from", from).Debug("connection ended")
	}
}

// greet reads the hello that opens a connection.
func (trn *Transport) greet(con net.Conn, src io.Reader) (string, error) {
	payload, err := trn.read(src)
	if err != nil {
		return "", err
	}
	msg, err := decode(payload)
	if err != nil {
		return "", err
	}
	hel, ok := msg.(hello)
	if !ok || hel.Version != protocolVersion {
		return "", fmt.Errorf("%w: no hello of protocol version %d", errMalformed, protocolVersion)
	}
	if hel.To != trn.self.ID && hel.To != "" {
		wrt := bufio.NewWriter(con)
		if err := trn.write(con, wrt, stranger{}); err != nil {
			return hel.From.ID, err
		}
		if err := wrt.Flush(); err != nil {
			return hel.From.ID, err
		}
		return hel.From.ID, fmt.Errorf("VM %q was meant, not %q", hel.To, trn.self.ID)
	}
	trn.Introduce(hel.From.ID, hel.From.Address)
	return hel.From.ID, nil
}

func (trn *Transport) deliver(from string, payload []byte) error {
	msg, err := decode(payload)
	if err != nil {
		return err
	}
	switch msg := msg.(type) {
	case chunkQuestion:
		trn.Send(from, chunkAnswer{ID: msg.ID, Content: trn.handler.Chunk(msg.ID)})
	case chunkAnswer:
		trn.chunkArrived(msg)
	case stateQuestion:
		trn.Send(from, trn.handler.State())
	case State:
		trn.stateArrived(msg)
	case hello, stranger:
		return errMalformed
	default:
		trn.handler.Received(from, msg)
	}
	return nil
}

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
