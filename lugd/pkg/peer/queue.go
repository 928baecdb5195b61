package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/lugd/pkg/budget"
	"marigoldlug.example/lugd/pkg/socket"
)

// sendQueue is the queue of messages to one VM. Transport.runQueue sends them.
type sendQueue struct {
	messages chan any
	// renew holds an element if the connection is to be replaced by another one, unless it is
	// younger than silenceTimeout.
	renew chan struct{}
	// unansweredSince is when the first message that wants an answer was queued since the VM has last
	// answered one; zero if there is none. Transport.mut protects it.
	unansweredSince time.Time
}

func newSendQueue() *sendQueue {
	return &sendQueue{messages: make(chan any, queueLength), renew: make(chan struct{}, 1)}
}

// requestRenewal has the connection replaced.
func (que *sendQueue) requestRenewal() {
	select {
	case que.renew <- struct{}{}:
	default:
	}
}

// noteSent records that a message is queued at now, and has the connection replaced if the VM has not
// answered for silenceTimeout: a connection may swallow what is sent although the network acknowledges
// it. Transport.mut must be held.
func (que *sendQueue) noteSent(now time.Time, msg any) {
	switch {
	case !wantsAnswer(msg):
	case que.unansweredSince.IsZero():
		que.unansweredSince = now
	case now.Sub(que.unansweredSince) > silenceTimeout:
		que.unansweredSince = now
		que.requestRenewal()
	}
}

// wantsAnswer reports whether a VM that works answers the message.
func wantsAnswer(msg any) bool {
	switch msg.(type) {
	case gateway.Ping, feed.Query, quota.Query, placement.Query, quarantine.Ask, stateQuery:
		return true
	}
	return false
}

// isAnswer reports whether a message answers one of those that want an answer.
func isAnswer(msg any) bool {
	switch msg := msg.(type) {
	case gateway.Pong, bootstrap.Newcomer, quota.Grant, placement.Answer, quarantine.Ruling, State:
		return true
	case gateway.Update:
		return msg.Number > 0
	}
	return false
}

// connect opens a connection to an address.
func (trn *Transport) connect(ctx context.Context, dlr *net.Dialer, address string) (net.Conn, error) {
	if trn.identity == nil {
		return dlr.DialContext(ctx, "tcp", address)
	}
	tlsDialer := &tls.Dialer{NetDialer: dlr, Config: trn.identity.ClientConfig()}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout) // It includes the handshake.
	defer cancel()
	return tlsDialer.DialContext(ctx, "tcp", address)
}

var (
	// errConnectionLost is the error of runConnection when the other VM closes the connection.
	errConnectionLost = errors.New("the connection was closed by the other VM")
	// errRenewed is the error of runConnection when the connection is to be replaced.
	errRenewed = errors.New("the other VM did not answer, or has replaced its own connection")
)

// runQueue sends the messages of one queue until it has been empty for idleTimeout or is
// closed, or until a connection fails within redialDelay of being dialled; the messages
// still queued are then lost. When an older connection is lost, they are sent over a new one at once: the loss
// of a placement.Ended, which reports the outcomes of attempts to the placer, would make a
// healthy target look sick.
func (trn *Transport) runQueue(to, address string, que *sendQueue) {
	defer trn.wait.Done()
	for {
		began := time.Now()
		err := trn.runConnection(to, address, que)
		if err == nil {
			break
		}
		trn.log.WithError(err).WithField("to", to).Debug("the connection to another VM ended")
		if time.Since(began) < redialDelay {
			time.Sleep(redialDelay)
			break
		}
	}
	trn.mut.Lock()
	defer trn.mut.Unlock()
	if trn.sendQueues[to] == que {
		delete(trn.sendQueues, to)
	}
}

// runConnection sends queued messages over one connection. It returns nil once the
// queue has been empty for idleTimeout or is closed.
func (trn *Transport) runConnection(to, address string, que *sendQueue) error {
	con, err := trn.connect(context.Background(), &net.Dialer{Timeout: dialTimeout, Control: socket.UserTimeout(writeTimeout)}, address)
	if err != nil {
		return err
	}
	defer func() { _ = con.Close() }()
	opened := time.Now()
	lost := make(chan struct{})
	trn.wait.Add(1)
	go func() {
		defer close(lost)
		trn.watchConnection(con, to)
	}()
	wrt := bufio.NewWriter(con)
	if err := trn.writeFrame(con, wrt, hello{Version: protocolVersion, From: trn.self, To: to}); err != nil {
		return err
	}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case msg, open := <-que.messages:
			if !open {
				return wrt.Flush()
			}
			if err := trn.writeQueued(con, wrt, que, msg); err != nil {
				return err
			}
			idle.Reset(idleTimeout)
		case <-que.renew:
			if time.Since(opened) < silenceTimeout {
				continue // It has just been replaced. Two VMs could go on to replace theirs by turns.
			}
			if err := wrt.Flush(); err != nil {
				return err
			}
			return errRenewed
		case <-lost:
			return errConnectionLost
		case <-idle.C:
			return nil
		}
	}
}

// writeQueued writes a message of the queue, and sends what is buffered if no other one is queued.
func (trn *Transport) writeQueued(con net.Conn, wrt *bufio.Writer, que *sendQueue, msg any) error {
	if err := trn.writeFrame(con, wrt, msg); err != nil {
		return err
	}
	if len(que.messages) > 0 {
		return nil
	}
	return wrt.Flush()
}

// watchConnection waits for wrongVM and the successor behind it, the only messages that a
// receiver sends back on a connection, or for the end of the connection, and then closes it.
func (trn *Transport) watchConnection(con net.Conn, to string) {
	defer trn.wait.Done()
	defer func() { _ = con.Close() }()
	src := bufio.NewReader(con)
	shr := trn.memory.Open(func() { _ = con.Close() })
	defer shr.Close()
	if _, wrong := trn.readReply(src, shr).(wrongVM); !wrong {
		return
	}
	// Programs of earlier versions send no successor.
	suc, _ := trn.readReply(src, shr).(successor)
	if suc.VM.ID != "" {
		trn.AddAddress(suc.VM.ID, suc.VM.Address)
	}
	trn.handler.PeerExited(to, suc.VM)
}

// readReply returns the next message that a receiver has sent back, or nil if there is none.
func (trn *Transport) readReply(src *bufio.Reader, shr *budget.Share) any {
	payload, err := trn.readFrame(src, shr, maxHelloSize)
	if err != nil {
		return nil
	}
	msg, err := decode(payload)
	if err != nil {
		return nil
	}
	return msg
}

// writeFrame writes the frame of a message to the buffer of a connection.
func (trn *Transport) writeFrame(con net.Conn, wrt *bufio.Writer, msg any) error {
	payload, err := encode(msg)
	if err != nil {
		return err
	}
	if len(payload) > maxFrameSize {
		return fmt.Errorf("frame of %d bytes is longer than %d", len(payload), maxFrameSize)
	}
	if err := con.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	var head [frameHeaderSize]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(payload)))
	if _, err := wrt.Write(head[:]); err != nil {
		return err
	}
	_, err = wrt.Write(payload)
	trn.sent.Add(int64(len(payload) + frameHeaderSize))
	return err
}
