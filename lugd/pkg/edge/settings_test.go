package edge

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func writeSettings(t *testing.T, path, txt string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(txt), 0o600); err != nil {
		t.Fatal(err)
	}
}

const goodSettings = `# a VM
name=vm-1
failure-domain=a
caller-address=127.0.0.1:1
ready-address=127.0.0.1:2
peer-address=127.0.0.1:3
platform-address=127.0.0.1:4
plain-text=callers,peers,operators

revoke-time=3s
`

func TestEveryWrongSettingIsNamed(t *testing.T) {
	set := DefaultSettings()
	set.CallerAddress, set.RevokeTime, set.LogFormat, set.PlainText, set.Capacity = "nowhere", -1, "xml", []string{"all"}, math.NaN()
	err := set.Check()
	if err == nil {
		t.Fatal("no error")
	}
	for _, name := range []string{"name:", "failure-domain:", "caller-address:", "ready-address:", "platform-address:", "revoke-time:", "log-format:", "capacity:", "plain-text:", "caller-certificate:"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("%q is not named in %q", name, err)
		}
	}
}

func TestFlagsGoBeforeTheEnvironmentAndThatBeforeTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, path, goodSettings)
	set, err := load(context.Background(), path, nil)
	if err != nil || set.Name != "vm-1" || set.RevokeTime != 3*time.Second || set.RetryWindow != 10*time.Second {
		t.Fatalf("got %+v, %v", set, err)
	}
	if set, err = load(context.Background(), path, []string{"--revoke-time=7s"}); err != nil || set.RevokeTime != 7*time.Second {
		t.Errorf("got %v, %v", set.RevokeTime, err)
	}
	writeSettings(t, path, goodSettings+"nonsense\n")
	if _, err := load(context.Background(), path, nil); err == nil || !strings.Contains(err.Error(), "line 11") {
		t.Errorf("got %v", err)
	}
}

// TestChangedFileIsTakenOver changes the file without a signal.
func TestChangedFileIsTakenOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, path, goodSettings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sets := watchFile(ctx, path, nil, nil, nil, logrus.New())
	time.Sleep(100 * time.Millisecond)
	writeSettings(t, path, strings.Replace(goodSettings, "3s", "4s", 1))
	select {
	case set := <-sets:
		if set.RevokeTime != 4*time.Second {
			t.Errorf("got %v", set.RevokeTime)
		}
	case <-time.After(3 * fileInterval):
		t.Error("the change was not seen")
	}
}
