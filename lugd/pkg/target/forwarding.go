package target

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

const (
	// forwardingHeader describes a forwarded request to the VM that forwards it, and resultHeader how that went:
	// the value resultAnswered marks the response of the target.
	forwardingHeader = "Lugd-Forwarding"
	resultHeader     = "Lugd-Result"
	resultAnswered   = "answered"
)

// errNotForwarded is returned for a response that the VM which forwards has not marked.
var errNotForwarded = errors.New("the VM did not say that it forwarded the request")

// errForwardingMalformed is returned for a request without a readable forwardingHeader.
var errForwardingMalformed = errors.New("the request does not say how it is to be forwarded")

// setForwarding describes a request that is about to be sent to the VM that forwards it. left is the time that
// the target has.
func setForwarding(hdr http.Header, cal Call, left time.Duration) {
	fwd := cal.Forwarding
	val := url.Values{}
	val.Set("service", fwd.Service)
	val.Set("target", fwd.Run.Target)
	val.Set("born", strconv.FormatInt(fwd.Run.Born, 10))
	val.Set("from", fwd.From)
	if fwd.Limit.Limited {
		val.Set("limit", strconv.FormatInt(int64(fwd.Limit.Rate), 10))
	}
	val.Set("content", fwd.Content.String())
	val.Set("permitted", strconv.Itoa(int(fwd.Permitted)))
	val.Set("idempotent", strconv.FormatBool(cal.Idempotent))
	val.Set("timeLeft", left.String())
	hdr.Set(forwardingHeader, val.Encode())
}

// TakeForwarding removes from a request what says how it is to be forwarded, and returns that and the
// parameters with which to send it, but for those that depend on the target.
func TakeForwarding(hdr http.Header) (gateway.Forwarding, Call, error) {
	val, err := url.ParseQuery(hdr.Get(forwardingHeader))
	hdr.Del(forwardingHeader)
	if err != nil {
		return gateway.Forwarding{}, Call{}, errForwardingMalformed
	}
	born, berr := strconv.ParseInt(val.Get("born"), 10, 64)
	permitted, perr := strconv.ParseUint(val.Get("permitted"), 10, 8)
	idempotent, ierr := strconv.ParseBool(val.Get("idempotent"))
	left, lerr := time.ParseDuration(val.Get("timeLeft"))
	content, valid := request.ParseFingerprint(val.Get("content"))
	lim, limErr := parseLimit(val.Get("limit"))
	if errors.Join(berr, perr, ierr, lerr, limErr) != nil || !valid || left <= 0 {
		return gateway.Forwarding{}, Call{}, errForwardingMalformed
	}
	fwd := gateway.Forwarding{
		Service: val.Get("service"), Run: health.Run{Target: val.Get("target"), Born: born}, Content: content, Permitted: quarantine.State(permitted),
		From: val.Get("from"), Limit: lim,
	}
	return fwd, Call{Idempotent: idempotent, Timeout: left}, nil
}

// parseLimit parses a limit; without a text there is none.
func parseLimit(txt string) (announcement.Limit, error) {
	if txt == "" {
		return announcement.Limit{}, nil
	}
	num, err := strconv.ParseInt(txt, 10, 64)
	return announcement.Limit{Limited: true, Rate: rate.PerSecond(num)}, err
}

// MarkAnswered marks a response as that of the target.
func MarkAnswered(hdr http.Header) { hdr.Set(resultHeader, resultAnswered) }

// MarkFailed describes in a response why there is none of the target.
func MarkFailed(hdr http.Header, fail *Error) {
	val := url.Values{}
	val.Set("verdict", strconv.Itoa(int(fail.Verdict)))
	val.Set("outcome", strconv.Itoa(int(fail.Outcome)))
	val.Set("portClosed", strconv.FormatBool(fail.PortClosed))
	val.Set("detail", fail.Error())
	hdr.Set(resultHeader, val.Encode())
}

// takeResult removes from a response what the VM that forwards has added, and returns why there is no response
// of the target, or nil.
func takeResult(hdr http.Header, vmm string) *Error {
	res := hdr.Get(resultHeader)
	hdr.Del(resultHeader)
	if res == resultAnswered {
		return nil
	}
	val, err := url.ParseQuery(res)
	ver, verr := strconv.ParseUint(val.Get("verdict"), 10, 8)
	out, oerr := strconv.ParseUint(val.Get("outcome"), 10, 8)
	if res == "" || errors.Join(err, verr, oerr) != nil || verdict.Verdict(ver) > verdict.MayHaveRun {
		return &Error{Verdict: verdict.MayHaveRun, Outcome: health.NotForwarded, Err: errNotForwarded}
	}
	return &Error{
		Verdict: verdict.Verdict(ver), Outcome: health.Outcome(out), PortClosed: val.Get("portClosed") == strconv.FormatBool(true),
		Err: fmt.Errorf("forwarded by %s: %s", vmm, val.Get("detail")),
	}
}

// blameForwarder attributes the failure of an exchange with the VM that forwards a request to that VM. Silence
// until the timeout may be the target's, and so is an invalid status line: VMs send none themselves, but those of an older
// build pass on what targets send.
func blameForwarder(cal Call, fail *Error) *Error {
	if cal.Forwarding != nil && !errors.Is(fail.Err, errStatusLine) && fail.Outcome != health.Overdue && fail.Outcome != health.Canceled && !errors.Is(fail.Err, errWithdrawn) {
		fail.Outcome = health.NotForwarded
	}
	return fail
}
