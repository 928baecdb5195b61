// Package explain shows what the logs of VMs say about one request, in order of time.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	errs "github.com/juju/errors"
)

// maxLine is the maximum length of a line in bytes; Read fails at a longer one.
const maxLine = 1 << 20

// stateChangeWindow is how long before the first line of a request state changes are
// included in its timeline.
const stateChangeWindow = 10 * time.Second

// stateChanges are the log events by which a VM reports a change of its own state, or
// of what it knows of the configuration, the fleet, the targets or the platform.
var stateChanges = []string{
	"configuration", "reading", "fleet", "placer", "placerSilent", "targetSuspected", "targetTrusted", "targetRemoved", "target",
	"serveTokens", "ceaseTokens", "platform lost", "platform regained", "start", "stop", "reload", "stranger", "vmLost",
	"announced", "announcementLearned", "announcementInherited", "targetDoubted", "targetBelieved", "eraKnown", "eraChanged",
}

// Line is one line of the logs. Event is its message, and Fields are all keys beyond
// time, level, message, subsystem and request.
type Line struct {
	Time   time.Time         `json:"time"`
	VM     string            `json:"vm,omitempty"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields,omitempty"`
}

// Timeline is what the logs say about one request.
type Timeline struct {
	Request string `json:"request"`
	// Lines are those that carry the ID of the request, in order of time.
	Lines []Line `json:"lines"`
	// StateChanges are the state changes that concern the request and happened
	// shortly before it or while it ran, in order of time.
	StateChanges []Line `json:"beliefs"`
}

// Reader collects the lines that a timeline may need from the logs of VMs.
type Reader struct {
	request      string
	lines        []Line
	stateChanges []Line
}

// New returns a reader for the request with the given ID.
func New(request string) *Reader { return &Reader{request: request} }

// Read reads a log. A line may have a prefix before its JSON object; the last word of the
// prefix is then the name of the VM. Without a prefix the VM is name. Lines without a
// valid JSON object are skipped.
func (rdr *Reader) Read(src io.Reader, name string) error {
	scn := bufio.NewScanner(src)
	scn.Buffer(nil, maxLine)
	for scn.Scan() {
		at := strings.IndexByte(scn.Text(), '{')
		if at < 0 {
			continue
		}
		var raw map[string]any
		if err := json.Unmarshal(scn.Bytes()[at:], &raw); err != nil {
			continue // The line was not written by a VM.
		}
		rdr.add(raw, vmName(scn.Text()[:at], name))
	}
	return errs.Trace(scn.Err())
}

// vmName returns the name of the VM that a log collector has put before a line: the
// last word of before. If there is none, it returns name.
func vmName(before, name string) string {
	words := strings.Fields(before)
	if len(words) == 0 {
		return name
	}
	return words[len(words)-1]
}

// add keeps a line if it belongs to the request or is a state change.
func (rdr *Reader) add(raw map[string]any, vmm string) {
	lin := Line{VM: vmm, Event: fmt.Sprint(raw["msg"]), Fields: make(map[string]string)}
	if txt, ok := raw["time"].(string); ok {
		at, err := time.Parse(time.RFC3339Nano, txt)
		if err == nil {
			lin.Time = at
		}
	}
	for key, val := range raw {
		if !slices.Contains([]string{"msg", "time", "level", "subsystem", "request"}, key) {
			lin.Fields[key] = fmt.Sprint(val)
		}
	}
	switch {
	case raw["request"] == rdr.request:
		rdr.lines = append(rdr.lines, lin)
	case slices.Contains(stateChanges, lin.Event):
		rdr.stateChanges = append(rdr.stateChanges, lin)
	}
}

// Timeline returns the timeline of the request, and whether any line was found.
func (rdr *Reader) Timeline() (Timeline, bool) {
	tli := Timeline{Request: rdr.request, Lines: rdr.lines}
	if len(rdr.lines) == 0 {
		return tli, false
	}
	byTime := func(one, two Line) int { return one.Time.Compare(two.Time) }
	slices.SortStableFunc(tli.Lines, byTime)
	first, last := tli.Lines[0].Time, tli.Lines[len(tli.Lines)-1].Time
	for _, lin := range rdr.stateChanges {
		if lin.Time.Before(first.Add(-stateChangeWindow)) || lin.Time.After(last) || !tli.concerns(lin) {
			continue
		}
		tli.StateChanges = append(tli.StateChanges, lin)
	}
	slices.SortStableFunc(tli.StateChanges, byTime)
	return tli, true
}

// sharedChanges are the state changes on a target that matter to requests of other VMs, too.
var sharedChanges = []string{"targetSuspected", "targetTrusted", "announced", "announcementLearned"}

// concerns reports whether a state change concerns the request. It must be of a VM
// that logged a line of the request, or be one of sharedChanges. If it names a target, it must
// be one that the request was sent to.
func (tli Timeline) concerns(chg Line) bool {
	shared := slices.Contains(sharedChanges, chg.Event)
	for _, lin := range tli.Lines {
		tgt := chg.Fields["target"]
		if (tgt == "" || tgt == lin.Fields["target"]) && (shared || lin.VM == chg.VM) {
			return true
		}
	}
	return false
}

// WriteText writes the timeline as text for people.
func (tli Timeline) WriteText(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "request %s\n", tli.Request); err != nil {
		return err
	}
	for _, part := range []struct {
		title string
		lines []Line
	}{{"decisions about the request", tli.Lines}, {"state changes of VMs", tli.StateChanges}} {
		if _, err := fmt.Fprintf(out, "\n%s\n", part.title); err != nil {
			return err
		}
		for _, lin := range part.lines {
			if _, err := fmt.Fprintf(out, "  %s  %-22s %-16s %s\n", lin.Time.Format("15:04:05.000"), lin.VM, lin.Event, formatFields(lin.Fields)); err != nil {
				return err
			}
		}
	}
	return nil
}

// formatFields formats fields as name=value, sorted by name.
func formatFields(flds map[string]string) string {
	parts := make([]string, 0, len(flds))
	for _, name := range slices.Sorted(maps.Keys(flds)) {
		parts = append(parts, name+"="+flds[name])
	}
	return strings.Join(parts, " ")
}
