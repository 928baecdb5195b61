package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"marigoldlug.example/core/member"
)

// forwardHello is the first message on a connection on which another VM is to forward requests. The
// receiver answers with forwardReady, after which the connection carries HTTP/1.1. A VM of a version
// that does not know it closes the connection.
type forwardHello struct {
	Version uint64
	From    member.VM
	// To is the ID of the VM that is to forward.
	To string
}

// forwardReady says that the receiver of a forwardHello is the VM that was meant.
type forwardReady struct{}

// forwarder serves connections on which this VM forwards requests.
type forwarder interface {
	// Accepting reports whether it takes connections.
	Accepting() bool
	// Serve returns once the connection is closed.
	Serve(con net.Conn)
}

// errNoForwarding is returned for a connection to a VM that does not forward.
var errNoForwarding = errors.New("the VM does not forward requests")

// SetForwarder sets what serves the connections on which this VM forwards requests. It must be called before
// Serve.
func (trn *Transport) SetForwarder(fwd forwarder) { trn.forwarder = fwd }

// DialForwarding opens a connection on which a VM forwards requests.
func (trn *Transport) DialForwarding(ctx context.Context, vmm member.VM) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	// The other VM may have to wait for a target that reads slowly, so target.Pool watches whether its machine answers.
	con, err := trn.connect(ctx, &net.Dialer{Timeout: dialTimeout}, vmm.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = con.Close() })
	err = trn.requestForwarding(con, vmm.ID)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = con.Close()
		return nil, err
	}
	return con, nil
}

// requestForwarding asks the VM at the other end of a connection to forward requests.
func (trn *Transport) requestForwarding(con net.Conn, to string) error {
	wrt := bufio.NewWriter(con)
	if err := trn.writeFrame(con, wrt, forwardHello{Version: protocolVersion, From: trn.self, To: to}); err != nil {
		return err
	}
	if err := wrt.Flush(); err != nil {
		return err
	}
	shr := trn.memory.Open(func() { _ = con.Close() })
	defer shr.Close()
	payload, err := trn.readFrame(con, shr, maxHelloSize)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoForwarding, err)
	}
	msg, err := decode(payload)
	if err != nil {
		return err
	}
	if _, ready := msg.(forwardReady); !ready {
		return errNoForwarding
	}
	return con.SetDeadline(time.Time{})
}

// forward serves a connection that begins with a forwardHello. src holds what was read of it already.
func (trn *Transport) forward(con net.Conn, src io.Reader, hel forwardHello) error {
	if trn.forwarder == nil || !trn.forwarder.Accepting() || hel.Version != protocolVersion || hel.To != trn.self.ID {
		return fmt.Errorf("%w: hello for VM %q", errNoForwarding, hel.To)
	}
	wrt := bufio.NewWriter(con)
	if err := trn.writeFrame(con, wrt, forwardReady{}); err != nil {
		return err
	}
	if err := wrt.Flush(); err != nil {
		return err
	}
	if err := con.SetDeadline(time.Time{}); err != nil {
		return err
	}
	trn.forwarder.Serve(&bufferedConn{Conn: con, src: src})
	return net.ErrClosed
}

// bufferedConn is a connection of which some bytes have been read into a buffer.
type bufferedConn struct {
	net.Conn

	src io.Reader
}

// NetConn returns the connection below the buffer.
func (con *bufferedConn) NetConn() net.Conn { return con.Conn }

// Read reads from the buffer first.
func (con *bufferedConn) Read(buf []byte) (int, error) { return con.src.Read(buf) }
