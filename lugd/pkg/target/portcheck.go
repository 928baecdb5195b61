package target

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/verdict"
)

// portCheckTimeout bounds the check of a target's port. A target that is gone refuses at once.
const portCheckTimeout = 100 * time.Millisecond

// closedByPeer reports whether an exchange failed because the target, or what is between, closed the
// connection.
func closedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// notePortClosed records in the failure of an attempt whether the process of its target is gone.
func (pol *Pool) notePortClosed(cal Call, err error, fail *Error) *Error {
	if cal.Forwarding == nil && fail.Outcome == health.Failure && fail.Verdict == verdict.MayHaveRun && closedByPeer(err) {
		fail.PortClosed = pol.portClosed(cal)
	}
	return fail
}

// portClosed reports whether nothing listens on the port of a target: its process is gone. Otherwise
// the connection that it opens is kept for later requests.
func (pol *Pool) portClosed(cal Call) bool {
	if !pol.reserve(cal) {
		return false // That many connections are open, so something listens.
	}
	ctx, cancel := context.WithTimeout(context.Background(), portCheckTimeout)
	defer cancel()
	con, err := pol.openConn(ctx, cal)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	pol.putIdle(con)
	return false
}
