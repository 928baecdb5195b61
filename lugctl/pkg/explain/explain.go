// Package explain tells the story of one request from the logs of VMs.
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

// maxLine is the greatest length in bytes of a line that is read.
const maxLine = 1 << 20

// stateChangeWindow is how long before a request what VMs came to believe is told.
const stateChangeWindow = 10 * time.Second

// stateChanges are the events by which a VM changes what it believes.
var stateChanges = []string{
	"configuration", "reading", "fleet", "placer", "placerSilent", "targetSuspected", "targetTrusted", "targetRemoved", "target",
	"serveTokens", "ceaseTokens", "platform lost", "platform regained", "start", "stop", "reload", "stranger", "vmLost",
}

// Line is one line of the logs.
type Line struct {
	Time   time.Time         `json:"time"`
	VM     string            `json:"vm,omitempty"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields,omitempty"`
}

// Timeline is what the logs say of one request.
type Timeline struct {
	Request string `json:"request"`
	// Lines are those of the request, and Beliefs what VMs came to believe
	// shortly before and meanwhile that concerns it, both in their order.
	Lines        []Line `json:"lines"`
	StateChanges []Line `json:"beliefs"`
}

// Reader gathers lines of logs.
type Reader struct {
	request      string
	lines        []Line
	stateChanges []Line
}

// New returns a reader that looks for the request with an identifier.
func New(request string) *Reader { return &Reader{request: request} }

// Read takes the log of one VM. Lines that are no JSON are skipped, with what
// stands before the first brace of the others.
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
			continue // It is not a line of a VM.
		}
		rdr.add(raw, vmName(scn.Text()[:at], name))
	}
	return errs.Trace(scn.Err())
}

// vmName returns the name of the VM that a collector has put before a line, or
// else that of the file.
func vmName(before, name string) string {
	words := strings.Fields(before)
	if len(words) == 0 {
		return name
	}
	return words[len(words)-1]
}

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

// Timeline returns what was found, and whether anything was.
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

// concerns reports whether a belief is that of a VM that took the request and
// not about another target, or that of a placer about its target.
func (tli Timeline) concerns(chg Line) bool {
	fromPlacer := chg.Event == "targetSuspected" || chg.Event == "targetTrusted"
	for _, lin := range tli.Lines {
		tgt := chg.Fields["target"]
		if (tgt == "" || tgt == lin.Fields["target"]) && (fromPlacer || lin.VM == chg.VM) {
			return true
		}
	}
	return false
}

// WriteText writes the story for people.
func (tli Timeline) WriteText(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "request %s\n", tli.Request); err != nil {
		return err
	}
	for _, part := range []struct {
		title string
		lines []Line
	}{{"what was decided", tli.Lines}, {"what was believed", tli.StateChanges}} {
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

func formatFields(flds map[string]string) string {
	parts := make([]string, 0, len(flds))
	for _, name := range slices.Sorted(maps.Keys(flds)) {
		parts = append(parts, name+"="+flds[name])
	}
	return strings.Join(parts, " ")
}
