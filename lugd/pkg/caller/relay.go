package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/node"
	"marigoldlug.example/core/verdict"
)

const relayBuffer = 32 << 10

// relayBuffers holds buffers for reuse.
var relayBuffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// relay copies the answer to the caller. An answer that the target cuts short
// aborts the caller's connection or stream, so that it is seen to be cut.
func (ses *session) relay() {
	ans := ses.answer
	defer ses.dropAnswer()
	copyAnswerHeaders(ses.wrt.Header(), ans.Header)
	for name := range ans.Trailer {
		ses.wrt.Header().Add("Trailer", name)
	}
	ses.wrt.WriteHeader(ans.StatusCode)
	err := ses.copyBody(ans.Body)
	if err == nil {
		for name, vals := range ans.Trailer {
			ses.wrt.Header()[name] = vals
		}
	}
	ses.ended(err)
	if err != nil {
		ses.result = "cut"
		ses.dropAnswer()
		panic(http.ErrAbortHandler)
	}
}

func (ses *session) ended(err error) {
	outcome := health.Success
	var write *writeError
	switch {
	case errors.As(err, &write) || ses.req.Context().Err() != nil:
		outcome = health.Canceled
	case err != nil:
		outcome = health.Failure
	}
	ses.han.decider.Step(node.AttemptEnded{Request: ses.id, Attempt: ses.attempt, Outcome: outcome, Verdict: verdict.Answered})
}

// writeError is a failure to write to the caller.
type writeError struct{ err error }

func (err *writeError) Error() string { return err.err.Error() }

// copyBody copies the body and flushes each part, so that streams flow.
func (ses *session) copyBody(src io.Reader) error {
	arr, ok := relayBuffers.Get().(*[relayBuffer]byte)
	if !ok {
		arr = new([relayBuffer]byte)
	}
	defer relayBuffers.Put(arr)
	buf := arr[:]
	for {
		cnt, err := src.Read(buf)
		if cnt > 0 {
			if _, werr := ses.wrt.Write(buf[:cnt]); werr != nil {
				return &writeError{err: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if cnt < len(buf) {
			if ferr := ses.ctl.Flush(); ferr != nil {
				return &writeError{err: ferr}
			}
		}
	}
}
