package caller

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/node"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/target"
)

const maxCallerTimeout = time.Hour

// decider steps the decisions of the VM.
type decider interface {
	// Begin registers a request and returns its ID and the channel on which
	// its actions arrive.
	Begin(req request.Request) (request.ID, <-chan node.Action)
	Step(evt node.Event)
	// End forgets a request.
	End(id request.ID)
}

// sender sends requests to targets.
type sender interface {
	Send(ctx context.Context, cal target.Call, req *http.Request) (*target.Answer, *target.Error)
}

// observer learns of every request and attempt.
type observer interface {
	Attempt(ctx context.Context, dis node.Dispatch) (context.Context, func(outcome health.Outcome))
	Request(ctx context.Context, hdr http.Header) (context.Context, func(route, result string))
	// Queue observes the wait until the first attempt or the refusal.
	Queue(ctx context.Context) func()
	Inject(ctx context.Context, hdr http.Header)
}

// Settings bound what a caller may send.
type Settings struct {
	MaxBody int64
	// BodyTimeout bounds the time in which a request body must arrive.
	BodyTimeout time.Duration
}

// Handler serves callers.
type Handler struct {
	set      Settings
	decider  decider
	sender   sender
	observer observer
}

// New returns a handler that has its requests decided by dec and sent by sen.
func New(set Settings, dec decider, sen sender, obs observer) *Handler {
	return &Handler{set: set, decider: dec, sender: sen, observer: obs}
}

// ServeHTTP answers one request.
func (han *Handler) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	ctx, done := han.observer.Request(req.Context(), req.Header)
	keys := extractKeys(req)
	timeout, valid := callerTimeout(req.Header)
	if ref := han.malformed(req, valid); ref != nil {
		writeRefusal(wrt, *ref)
		done("", string(ref.Reason))
		return
	}
	waited := han.observer.Queue(ctx)
	id, actions := han.decider.Begin(request.Request{
		Host:    plainHost(req.Host),
		Path:    req.URL.Path,
		Method:  req.Method,
		Keys:    keys,
		Timeout: timeout,
	})
	defer han.decider.End(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctl := http.NewResponseController(wrt)
	// HTTP/2 is full duplex always and reports the call as not supported.
	_ = ctl.EnableFullDuplex()
	ses := &session{
		han:  han,
		id:   id,
		wrt:  wrt,
		ctl:  ctl,
		req:  req,
		body: newReplay(http.MaxBytesReader(wrt, req.Body, han.set.MaxBody)),

		waited: sync.OnceFunc(waited),
	}
	if hasBody(req) {
		// Without a body the deadline would end the watch for a caller that leaves.
		_ = ctl.SetReadDeadline(time.Now().Add(han.set.BodyTimeout))
		ses.body.whole = func() { _ = ctl.SetReadDeadline(time.Time{}) }
	}
	defer func() { done(ses.route, ses.result) }()
	ses.run(ctx, actions)
}

func (han *Handler) malformed(req *http.Request, timeoutValid bool) *request.Refusal {
	switch {
	case !timeoutValid:
		return &request.Refusal{Reason: request.Malformed, Detail: TimeoutHeader + " must be a number of seconds above 0 and up to an hour"}
	case req.Method == http.MethodConnect:
		return &request.Refusal{Reason: request.Malformed, Detail: "tunnels are not offered"}
	case !plainPath(req.URL.Path, req.URL.EscapedPath()):
		return &request.Refusal{Reason: request.Malformed, Detail: "the path has dot segments, empty segments or encoded separators"}
	case req.ContentLength > han.set.MaxBody:
		return &request.Refusal{Reason: request.TooLarge, Detail: "the body is longer than this fleet takes"}
	}
	return nil
}

// hasBody reports whether a request has a body, be it of unknown length.
func hasBody(req *http.Request) bool { return req.ContentLength != 0 }

// session relays one request.
type session struct {
	han  *Handler
	id   request.ID
	wrt  http.ResponseWriter
	ctl  *http.ResponseController
	req  *http.Request
	body *replay
	// waited ends the observation of the wait for the first attempt.
	waited func()
	// answer is the answer that waits for the decision to relay it.
	answer  *target.Answer
	attempt int
	route   string
	result  string
}

func (ses *session) run(ctx context.Context, actions <-chan node.Action) {
	for {
		select {
		case act := <-actions:
			if ses.act(ctx, act) {
				return
			}
		case <-ctx.Done():
			ses.waited()
			ses.result = "callerLeft"
			ses.han.decider.Step(node.CallerLeft{Request: ses.id})
			return
		}
	}
}

// act carries out an action and reports whether it was the last.
func (ses *session) act(ctx context.Context, act node.Action) bool {
	ses.waited()
	switch act := act.(type) {
	case node.Dispatch:
		ses.dropAnswer()
		ses.route = act.Route
		ses.send(ctx, act)
		return false
	case node.Relay:
		ses.result = "answered"
		ses.relay()
	case node.Refuse:
		ses.dropAnswer()
		ses.result = string(act.Refusal.Reason)
		ses.refuse(act.Refusal)
	}
	return true
}

func (ses *session) refuse(ref request.Refusal) {
	var tooLarge *http.MaxBytesError
	if errors.As(ses.body.failed(), &tooLarge) {
		ref.Reason = request.TooLarge
		ref.Detail = "the body is longer than this fleet takes"
	}
	if hasBody(ses.req) && !ses.body.complete() {
		// Unread parts of the body must not delay the answer.
		_ = ses.ctl.SetReadDeadline(time.Now())
		ses.wrt.Header().Set("Connection", "close")
	}
	writeRefusal(ses.wrt, ref)
}

func (ses *session) dropAnswer() {
	if ses.answer != nil {
		_ = ses.answer.Body.Close()
		ses.answer = nil
	}
}

func (ses *session) send(ctx context.Context, dis node.Dispatch) {
	ses.attempt = dis.Attempt
	ctx, done := ses.han.observer.Attempt(ctx, dis)
	ans, fail := ses.han.sender.Send(ctx, target.Call{
		Address: dis.Target.Address, Idempotent: dis.Idempotent, Timeout: dis.Timeout, Connections: dis.Connections,
	}, ses.outgoing(ctx, dis))
	if fail != nil {
		outcome := fail.Outcome
		if ses.req.Context().Err() != nil || ses.body.failed() != nil {
			outcome = health.Canceled
		}
		done(outcome)
		ses.han.decider.Step(node.AttemptEnded{
			Request: ses.id, Attempt: dis.Attempt, Outcome: outcome, Verdict: fail.Verdict,
			Detail: "the target did not answer", Spent: !ses.body.again() || ses.body.failed() != nil,
		})
		return
	}
	ses.answer = ans
	shed := ans.StatusCode >= 400 && ans.Header.Get(verdict.Header) == verdict.NotRun.String()
	done(answerOutcome(ans.StatusCode, shed))
	ses.han.decider.Step(node.AnswerBegan{
		Request: ses.id,
		Attempt: dis.Attempt,
		Status:  ans.StatusCode,
		Shed:    shed,
		Leaving: ans.Header.Get(LeavingHeader) != "",
		Spent:   !ses.body.again(),
	})
}

// answerOutcome returns how metrics and spans name an attempt that was answered.
func answerOutcome(status int, shed bool) health.Outcome {
	switch {
	case shed:
		return health.Shed
	case status >= http.StatusInternalServerError:
		return health.Failure
	}
	return health.Success
}

// outgoing returns the request to a target.
func (ses *session) outgoing(ctx context.Context, dis node.Dispatch) *http.Request {
	in := ses.req
	out := &http.Request{
		Method:        in.Method,
		URL:           &url.URL{Scheme: "http", Host: dis.Target.Address, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Host:          in.Host,
		Header:        outgoingHeaders(in, dis.Organisation),
		ContentLength: in.ContentLength,
	}
	out.Header.Set(TimeoutHeader, showTimeout(dis.Timeout))
	ses.han.observer.Inject(ctx, out.Header)
	if !hasBody(in) {
		return out
	}
	out.Body = ses.body.next()
	if trailer := permittedTrailers(in.Trailer); trailer != nil {
		out.Trailer = trailer
		out.Body = &trailerCopier{ReadCloser: out.Body, src: in.Trailer, dst: trailer}
	}
	return out
}
