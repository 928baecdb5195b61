package edge

import (
	"bytes"
	"errors"
	stdlog "log"
	"os"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
)

// TestLibraryOutputIsLogged guards against libraries that write to standard error themselves: such
// lines would not be structured and could block on a reader. What they write to the standard logger
// and report as errors of OpenTelemetry must appear in the log.
func TestLibraryOutputIsLogged(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	flags := stdlog.Flags()
	t.Cleanup(func() {
		stdlog.SetOutput(os.Stderr)
		stdlog.SetFlags(flags)
	})
	redirectLibraryLogs(log)
	stdlog.Print("http: a complaint")
	otel.Handle(errors.New("no endpoint"))
	for _, want := range []string{`"line":"http: a complaint"`, `"error":"no endpoint"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is not in %q", want, out.String())
		}
	}
}
