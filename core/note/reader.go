package note

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

const (
	// maxNameLength is the maximum length of a name in bytes. Names of hosts count as names,
	// and may be this long in DNS.
	maxNameLength = 253
	// maxDuration is the greatest duration that a note may set: a timeout or a latency goal.
	maxDuration = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// reader decodes YAML nodes and collects the errors found in them.
type reader struct {
	errs ValidationError
}

func (rdr *reader) addError(nod *yaml.Node, field, format string, args ...any) {
	line := 0
	if nod != nil {
		line = nod.Line
	}
	rdr.errs = append(rdr.errs, FieldError{Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// pairs returns the entries of a mapping and reports duplicate names.
func (rdr *reader) pairs(nod *yaml.Node, path string) []pair {
	if nod.Kind == yaml.ScalarNode && nod.Tag == "!!null" {
		return nil
	}
	if nod.Kind != yaml.MappingNode {
		rdr.addError(nod, path, "must be a mapping")
		return nil
	}
	seen := make(map[string]bool)
	prs := make([]pair, 0, len(nod.Content)/2)
	for idx := 0; idx+1 < len(nod.Content); idx += 2 {
		nam := nod.Content[idx]
		if seen[nam.Value] {
			rdr.addError(nam, path+"."+nam.Value, "is given twice")
			continue
		}
		seen[nam.Value] = true
		prs = append(prs, pair{name: nam.Value, at: nam, value: nod.Content[idx+1]})
	}
	return prs
}

// pair is one entry of a mapping; at is the node of its name.
type pair struct {
	name  string
	at    *yaml.Node
	value *yaml.Node
}

func (rdr *reader) items(nod *yaml.Node, path string) []*yaml.Node {
	if nod.Kind == yaml.ScalarNode && nod.Tag == "!!null" {
		return nil
	}
	if nod.Kind != yaml.SequenceNode {
		rdr.addError(nod, path, "must be a list")
		return nil
	}
	return nod.Content
}

func (rdr *reader) str(nod *yaml.Node, path string) string {
	if nod.Kind != yaml.ScalarNode || nod.Tag == "!!null" {
		rdr.addError(nod, path, "must be a string")
		return ""
	}
	return nod.Value
}

func (rdr *reader) name(nod *yaml.Node, path string) string {
	val := rdr.str(nod, path)
	if len(val) > maxNameLength || !namePattern.MatchString(val) {
		rdr.addError(nod, path, "%q is not a name: use lower case letters, digits, dots, underscores and hyphens", val)
	}
	return val
}

func (rdr *reader) names(nod *yaml.Node, path string) []string {
	var out []string
	for _, itm := range rdr.items(nod, path) {
		out = append(out, rdr.name(itm, path))
	}
	return rdr.sortedDistinct(nod, path, out)
}

// sortedDistinct returns the sorted values without duplicates, which it reports.
func (rdr *reader) sortedDistinct(nod *yaml.Node, path string, vals []string) []string {
	slices.Sort(vals)
	for idx := 1; idx < len(vals); idx++ {
		if vals[idx] == vals[idx-1] {
			rdr.addError(nod, path, "%q is listed twice", vals[idx])
		}
	}
	return slices.Compact(vals)
}

func (rdr *reader) float(nod *yaml.Node, path string, low, high float64) float64 {
	val, err := strconv.ParseFloat(rdr.str(nod, path), 64)
	if err != nil || math.IsNaN(val) || val < low || val > high {
		rdr.addError(nod, path, "must be a number from %v to %v, not %q", low, high, nod.Value)
		return low
	}
	return val
}

func (rdr *reader) positiveInt(nod *yaml.Node, path string, high int) int {
	val, err := strconv.Atoi(rdr.str(nod, path))
	if err != nil || val < 1 || val > high {
		rdr.addError(nod, path, "must be a whole number from 1 to %d, not %q", high, nod.Value)
		return 1
	}
	return val
}

func (rdr *reader) nonNegativeInt(nod *yaml.Node, path string, high int) int {
	val, err := strconv.Atoi(rdr.str(nod, path))
	if err != nil || val < 0 || val > high {
		rdr.addError(nod, path, "must be a whole number from 0 to %d, not %q", high, nod.Value)
		return 0
	}
	return val
}

func (rdr *reader) boolean(nod *yaml.Node, path string) bool {
	val, err := strconv.ParseBool(rdr.str(nod, path))
	if err != nil {
		rdr.addError(nod, path, "must be true or false, not %q", nod.Value)
	}
	return val
}

func (rdr *reader) duration(nod *yaml.Node, path string) time.Duration {
	val, err := time.ParseDuration(rdr.str(nod, path))
	if err != nil || val <= 0 || val > maxDuration {
		rdr.addError(nod, path, "must be a duration above 0 and up to %v, such as 2s, not %q", maxDuration, nod.Value)
		return time.Second
	}
	return val
}

func (rdr *reader) pathPrefix(nod *yaml.Node, path string) string {
	val := rdr.str(nod, path)
	if !strings.HasPrefix(val, "/") || strings.Contains(val, "//") || strings.Contains(val+"/", "/../") || strings.Contains(val+"/", "/./") {
		rdr.addError(nod, path, "must start with a slash and have no empty or dot segments, not %q", val)
	}
	return val
}

func (rdr *reader) host(nod *yaml.Node, path string) string {
	if nod.Kind == yaml.ScalarNode && nod.Value == "" {
		return "" // Every host.
	}
	return rdr.name(nod, path)
}
