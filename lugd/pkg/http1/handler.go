package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/request"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/lugd/pkg/target"
)

const (
	authorizationHeader = "Authorization"
	bearerScheme        = "bearer "
)

// minTimeout is the timeout of a request whose time is over before it begins.
const minTimeout = time.Millisecond

// maxForwardingConns is the greatest number of connections to a VM that forwards requests.
const maxForwardingConns = 64

// requestHandler handles one request of a caller.
type requestHandler struct {
	con *conn
	req *http.Request
	// turn is closed when the responses to all earlier requests of the connection have been sent.
	turn <-chan struct{}
	// number is that of the request on its connection.
	number uint64
	// taken is the memory for the request, which is bound.
	taken int64
	// held is the memory for responses that are held whole.
	held heldMemory
	// last is set when no request follows on the connection.
	last bool
	// callerRequestID is the request's ID, as its caller gave it; see header.Names.Request.
	callerRequestID string
	// id identifies the request in the VM's state machine.
	id    request.ID
	began time.Time
	// waited is the total duration of the attempts, without canceled ones.
	waited  time.Duration
	results chan attemptResult
	// attempts holds, by number, the attempts that are running and those whose response has not
	// been relayed or freed yet.
	attempts map[int]*attempt
	// route is the name of the route; empty until an attempt is sent.
	route string
	// result is the result of the request, as metrics and spans name it.
	result string
}

// attempt is one sending of the request to a target.
type attempt struct {
	cancel context.CancelFunc
	// response is nil until it has arrived.
	response *target.Response
}

// attemptResult is the response to an attempt or its failure.
type attemptResult struct {
	attempt  int
	service  string
	response *target.Response
	failure  *target.Error
	began    time.Time
}

func newRequestHandler(con *conn, req *http.Request, turn <-chan struct{}, number uint64, last bool) *requestHandler {
	return &requestHandler{
		con: con, req: req, turn: turn, number: number, last: last, began: time.Now(), results: make(chan attemptResult),
		held: heldMemory{share: con.memory}, attempts: make(map[int]*attempt), callerRequestID: req.Header.Get(con.srv.names.Request),
	}
}

// run carries out the decider's actions for the request until the caller is answered or has left. queued is how
// long ago the request was read, and counts for its timeout.
func (han *requestHandler) run(queued time.Duration) {
	defer han.releaseBody()
	srv := han.con.srv
	keys := extractKeys(han.req.Header)
	timeout, valid := srv.names.ParseTimeout(han.req.Header)
	if ref := han.validate(valid); ref != nil {
		han.refuse(*ref)
		return
	}
	if timeout > 0 {
		timeout = max(timeout-queued, minTimeout)
	}
	id, actions := srv.decider.Begin(request.Request{
		Label: han.callerRequestID, Host: normalizeHost(han.req.Host), Path: han.req.URL.Path, Content: han.content(), Keys: keys, Timeout: timeout,
	})
	han.id = id
	defer srv.decider.End(id)
	ctx, endSpan := srv.observer.StartRequest(han.con.ctx, han.req.Header)
	defer func() { endSpan(han.result) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer han.cancelAttempts()
	for {
		select {
		case act := <-actions:
			if han.act(ctx, act) {
				return
			}
		case res := <-han.results:
			han.handleResult(res)
		case <-ctx.Done():
			han.cancelAttempts()
			srv.decider.Step(gateway.CallerLeft{Request: id})
			han.observe("callerLeft")
			return
		}
	}
}

// content returns the fingerprint of the request's content.
func (han *requestHandler) content() request.Fingerprint {
	var content [][]byte
	if bod, buffered := han.req.Body.(*bufferedBody); buffered {
		content = bod.segments
	}
	return request.FingerprintOf(han.req.Method, normalizeHost(han.req.Host), han.req.URL.RequestURI(), content...)
}

// releaseBody gives back what is held for the request and for responses that were held.
func (han *requestHandler) releaseBody() {
	han.held.release()
	han.con.memory.GiveBound(han.taken)
}

// observe reports the result of the request to the observer.
func (han *requestHandler) observe(result string) {
	han.result = result
	elapsed := time.Since(han.began)
	han.con.srv.observer.Request(han.route, result, elapsed, han.waited)
}

// validate returns a refusal for a request that can be parsed but isn't served, or nil.
func (han *requestHandler) validate(timeoutValid bool) *request.Refusal {
	switch {
	case !timeoutValid:
		return &request.Refusal{Reason: request.Malformed, Detail: "the header " + han.con.srv.names.Timeout + " must be a number above 0"}
	case han.req.Method == http.MethodConnect:
		return &request.Refusal{Reason: request.Malformed, Detail: "tunnels are not offered"}
	case !isNormalized(han.req.URL.Path, han.req.URL.EscapedPath()):
		return &request.Refusal{Reason: request.Malformed, Detail: "the path has dot segments, empty segments or encoded separators"}
	}
	return nil
}

// act carries out an action and reports whether it was the request's last one.
func (han *requestHandler) act(ctx context.Context, act gateway.Action) bool {
	switch act := act.(type) {
	case gateway.Dispatch:
		han.route = act.Route
		han.send(ctx, act)
		return false
	case gateway.CancelAttempt:
		han.cancelAttempt(act.Attempt)
		return false
	case gateway.Relay:
		han.relay(act.Attempt)
	case gateway.Refuse:
		han.cancelAttempts()
		han.refuse(act.Refusal)
	}
	return true
}

// send starts an attempt in the background. Its result arrives on han.results.
func (han *requestHandler) send(ctx context.Context, dis gateway.Dispatch) {
	ctx, cancel := context.WithCancel(ctx)
	han.attempts[dis.Attempt] = &attempt{cancel: cancel}
	began := time.Now()
	cal := target.Call{
		Address: dis.Target.Address, Idempotent: dis.Idempotent, Timeout: dis.Timeout, MaxConnections: dis.Connections,
		CallerRequestID: han.callerRequestID,
		MaySend:         func() bool { return han.con.srv.decider.MaySend(han.id, dis.Attempt) },
		Forwarding:      dis.Forwarding,
		MoreBytes:       han.moreBytes,
	}
	if dis.Forwarding == nil {
		cal.Stalled = func(dbt path.Doubt) {
			han.con.srv.decider.Step(gateway.Stalled{Service: dis.Service, Target: dis.Target.ID, Doubt: dbt})
		}
	} else {
		cal.MaxConnections = maxForwardingConns
	}
	out := han.targetRequest(dis)
	endSpan := han.con.srv.observer.StartAttempt(ctx, dis, out.Header)
	results := han.results
	go func() {
		rsp, fail := han.con.srv.sender.Send(ctx, cal, out)
		endSpan()
		res := attemptResult{attempt: dis.Attempt, service: dis.Service, response: rsp, failure: fail, began: began}
		select {
		case results <- res:
		case <-ctx.Done():
			if rsp != nil {
				_ = rsp.Body.Close()
			}
		}
	}()
}

// handleResult passes the result of an attempt to the decider. The result of a canceled attempt is
// discarded.
func (han *requestHandler) handleResult(res attemptResult) {
	att := han.attempts[res.attempt]
	if att == nil {
		if res.response != nil {
			_ = res.response.Body.Close()
		}
		return
	}
	srv := han.con.srv
	han.waited += time.Since(res.began)
	if res.failure != nil {
		han.cancelAttempt(res.attempt)
		srv.observer.Attempt(res.service, res.failure.Outcome)
		srv.decider.Step(gateway.AttemptFailed{
			Request: han.id, Attempt: res.attempt, Outcome: res.failure.Outcome, Verdict: res.failure.Verdict, Detail: res.failure.Error(),
			Announcement: res.failure.Announcement, PortClosed: res.failure.PortClosed,
		})
		return
	}
	att.response = res.response
	rsp := gateway.Response{
		Status:      res.response.StatusCode,
		Shed:        res.response.StatusCode >= 400 && res.response.Header.Get(srv.names.NotRun) != "",
		Misdirected: res.response.StatusCode == http.StatusMisdirectedRequest,

		Announcement: srv.names.Announcement(res.response.StatusCode, res.response.Header),
	}
	srv.observer.Attempt(res.service, responseOutcome(rsp))
	srv.decider.Step(gateway.Answered{Request: han.id, Attempt: res.attempt, Response: rsp})
}

// responseOutcome returns the outcome under which metrics count an attempt with this response.
func responseOutcome(rsp gateway.Response) health.Outcome {
	switch {
	case rsp.Shed || rsp.Misdirected:
		return health.Shed
	case rsp.Status >= http.StatusInternalServerError:
		return health.ServerError
	}
	return health.Success
}

// cancelAttempt ends an attempt and closes its response. It does nothing if that was done before.
func (han *requestHandler) cancelAttempt(number int) {
	att := han.attempts[number]
	if att == nil {
		return
	}
	delete(han.attempts, number)
	if att.response != nil {
		_ = att.response.Body.Close()
	}
	att.cancel()
}

func (han *requestHandler) cancelAttempts() {
	for number := range han.attempts {
		han.cancelAttempt(number)
	}
}

// relay passes a target's response to the caller. If the response is cut short, the caller's
// connection ends such that the caller can tell.
func (han *requestHandler) relay(number int) {
	defer han.cancelAttempt(number)
	src := han.attempts[number].response
	hdr := src.Header.Clone()
	header.RemoveHopByHop(hdr)
	hdr.Del("Trailer")
	rsp := &response{
		status: src.StatusCode, header: hdr, body: src.BodyPrefix, rest: src.Rest(), length: src.Length(),
		bodiless: han.req.Method == http.MethodHead || src.StatusCode == http.StatusNoContent || src.StatusCode == http.StatusNotModified,
		noChunks: han.req.ProtoMajor == 1 && han.req.ProtoMinor == 0,
	}
	err := han.write(rsp)
	han.con.srv.decider.Step(gateway.RelayEnded{Request: han.id, Outcome: relayOutcome(src.ReadError(), err), PortClosed: src.PortClosed()})
	if err != nil {
		han.con.srv.log.WithError(err).WithField("request", han.callerRequestID).Info("cannot relay the whole response of the target to the caller; closing the connection")
		han.observe("cut")
		return
	}
	han.observe("answered")
}

// relayOutcome returns what the end of a response says about its target, from the errors with which reading it and
// writing it to the caller ended.
func relayOutcome(readErr, writeErr error) health.Outcome {
	switch {
	case errors.Is(readErr, target.ErrOverdue):
		return health.Overdue
	case readErr != nil:
		return health.Failure
	case writeErr != nil:
		return health.Canceled
	}
	return health.Success
}

func (han *requestHandler) refuse(ref request.Refusal) {
	rsp := refusalResponse(han.con.srv.names, ref, han.callerRequestID)
	if han.req.Method == http.MethodHead {
		rsp.bodiless = true
	}
	if err := han.write(rsp); err != nil {
		han.con.srv.log.WithError(err).WithField("request", han.callerRequestID).Info("cannot send the refusal to the caller; closing the connection")
	}
	han.observe(string(ref.Reason))
}

// write sends a response after those to all earlier requests of the connection.
func (han *requestHandler) write(rsp *response) error {
	con := han.con
	<-han.turn
	if err := con.ctx.Err(); err != nil {
		return err
	}
	rsp.close = con.beginResponse(han.last || con.srv.isStopping())
	err := rsp.write(con.writer)
	if err == nil {
		err = con.writer.Flush()
	}
	if err != nil {
		// The caller would take anything sent from now on for the rest of this response.
		con.abort(rsp.endsWithConnection())
	}
	return err
}

// targetRequest returns the request to send to a target: the caller's without hop-by-hop headers,
// and with the headers that tell the organisation, the target that is meant and the time left.
func (han *requestHandler) targetRequest(dis gateway.Dispatch) *http.Request {
	in := han.req
	nms := han.con.srv.names
	hdr := in.Header.Clone()
	header.RemoveHopByHop(hdr)
	for _, name := range []string{"Trailer", "Expect", nms.Organisation, nms.ExpectTarget} {
		if name != "" {
			hdr.Del(name)
		}
	}
	if dis.Organisation != "" && nms.Organisation != "" {
		hdr.Set(nms.Organisation, dis.Organisation)
	}
	if nms.ExpectTarget != "" {
		hdr.Set(nms.ExpectTarget, dis.Target.ID)
	}
	hdr.Set(nms.Timeout, nms.FormatTimeout(dis.Timeout))
	out := target.NewRequest(in, hdr, dis.Target.Address)
	if bod, buffered := in.Body.(*bufferedBody); buffered {
		out.ContentLength = in.ContentLength
		out.Body = io.NopCloser(&segmentReader{rest: bod.segments})
		if in.ContentLength < 0 && len(bod.segments) > 0 {
			out.TransferEncoding = []string{"chunked"}
		}
	}
	return out
}

// extractKeys removes the Authorization headers from a request, so that targets don't see the
// caller's key, and returns the digests of the distinct bearer keys found.
func extractKeys(hdr http.Header) []config.Digest {
	var digests []config.Digest
	seen := make(map[string]bool)
	for _, val := range hdr.Values(authorizationHeader) {
		if len(val) <= len(bearerScheme) || !strings.EqualFold(val[:len(bearerScheme)], bearerScheme) {
			continue
		}
		key := strings.TrimSpace(val[len(bearerScheme):])
		if !seen[key] {
			seen[key] = true
			digests = append(digests, config.DigestOf(key))
		}
	}
	hdr.Del(authorizationHeader)
	return digests
}

// isNormalized reports whether a path is absolute and has no dot segments, empty segments,
// backslashes, NUL bytes or encoded separators. A target might resolve those to another path than
// the one that was matched with the routes.
func isNormalized(path, rawPath string) bool {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "//") || strings.ContainsAny(path, "\\\x00") {
		return false
	}
	if strings.Contains(path+"/", "/../") || strings.Contains(path+"/", "/./") {
		return false
	}
	low := strings.ToLower(rawPath)
	return !strings.Contains(low, "%2f") && !strings.Contains(low, "%5c")
}

// normalizeHost returns the host in lower case, without port and trailing dot.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
