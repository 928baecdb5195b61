// Package logflags creates the loggers of the subsystems and selects which of them write
// debug messages.
package logflags

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// The names of the subsystems that log.
const (
	Daemon   = "daemon"
	Caller   = "caller"
	Machine  = "machine"
	Peer     = "peer"
	Platform = "platform"
	Operator = "operator"
)

// timeFormat has milliseconds, so that the lines of one request can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Subsystems returns the names of all subsystems.
func Subsystems() []string { return []string{Daemon, Caller, Machine, Peer, Platform, Operator} }

// Loggers creates the loggers of the subsystems, which share an output and a format.
type Loggers struct {
	out     io.Writer
	format  logrus.Formatter
	verbose []string
}

// New returns Loggers that write to out. The subsystems named in verbose, separated by
// commas, also write debug messages; format is "json" or "text".
func New(out io.Writer, format, verbose string) (*Loggers, error) {
	lgs := &Loggers{out: out}
	switch format {
	case "json":
		lgs.format = &logrus.JSONFormatter{TimestampFormat: timeFormat}
	case "text":
		lgs.format = &logrus.TextFormatter{FullTimestamp: true, TimestampFormat: timeFormat}
	default:
		return nil, fmt.Errorf("log format %q is not json or text", format)
	}
	for name := range strings.SplitSeq(verbose, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.Contains(Subsystems(), name) {
			return nil, fmt.Errorf("unknown log subsystem %q; the subsystems are %s", name, strings.Join(Subsystems(), ", "))
		}
		lgs.verbose = append(lgs.verbose, name)
	}
	return lgs, nil
}

// Logger returns the logger of a subsystem.
func (lgs *Loggers) Logger(subsystem string) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(lgs.out)
	log.SetFormatter(lgs.format)
	if slices.Contains(lgs.verbose, subsystem) {
		log.SetLevel(logrus.DebugLevel)
	}
	return log.WithField("subsystem", subsystem)
}
