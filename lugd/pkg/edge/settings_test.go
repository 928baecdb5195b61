package edge

import (
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"
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

// TestCheckNamesEveryInvalidSetting guards against a Check that stops at the first invalid setting or
// lets one pass: its error must name all those that are invalid or missing.
func TestCheckNamesEveryInvalidSetting(t *testing.T) {
	set := DefaultSettings()
	set.CallerAddress, set.RevokeTime, set.LogFormat, set.PlainText, set.Capacity, set.MaxFiles = "nowhere", -1, "xml", []string{"all"}, math.NaN(), 5
	set.DrainTime, set.ColdExcess, set.RewriteTime = time.Second, -1, 0
	err := set.Check()
	if err == nil {
		t.Fatal("no error")
	}
	for _, name := range []string{"name:", "failure-domain:", "caller-address:", "ready-address:", "platform-address:", "revoke-time:", "rewrite-time:", "log-format:", "capacity:", "max-files:", "domain-drain-time:", "cold-excess:", "plain-text:", "caller-certificate:"} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("%q is not named in %q", name, err)
		}
	}
}

// TestFlagsOverrideTheFile guards against a wrong order of the sources: a flag must prevail over the
// file, and the file over the default. The error for a malformed line must give its number.
func TestFlagsOverrideTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, path, goodSettings)
	set, err := (&settingsSource{path: path}).load(io.Discard)
	if err != nil || set.Name != "vm-1" || set.RevokeTime != 3*time.Second || set.RetryWindow != 10*time.Second {
		t.Fatalf("got %+v, %v", set, err)
	}
	if set, err = (&settingsSource{path: path, args: []string{"--revoke-time=7s"}}).load(io.Discard); err != nil || set.RevokeTime != 7*time.Second {
		t.Errorf("got %v, %v", set.RevokeTime, err)
	}
	writeSettings(t, path, goodSettings+"nonsense\n")
	if _, err := (&settingsSource{path: path}).load(io.Discard); err == nil || !strings.Contains(err.Error(), "line 11") {
		t.Errorf("got %v", err)
	}
}

// TestEnvironmentOverridesTheFile sets a variable for a setting that the file and a flag give, too: it
// must prevail over the file and the flag over it. An empty variable sets nothing.
func TestEnvironmentOverridesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, path, goodSettings)
	t.Setenv("LUGD_REVOKE_TIME", "4s")
	t.Setenv("LUGD_NAME", "")
	set, err := (&settingsSource{path: path}).load(io.Discard)
	if err != nil || set.RevokeTime != 4*time.Second || set.Name != "vm-1" {
		t.Errorf("got revoke-time %v, name %q, %v", set.RevokeTime, set.Name, err)
	}
	if set, err = (&settingsSource{path: path, args: []string{"--revoke-time=7s"}}).load(io.Discard); err != nil || set.RevokeTime != 7*time.Second {
		t.Errorf("got %v, %v", set.RevokeTime, err)
	}
}

// startWatch loads a settings file, calls meanwhile with its path and then starts to watch it.
// The watch delivers settings on sets when the file changes, and for each value sent on hup.
func startWatch(t *testing.T, meanwhile func(path string)) (path string, hup chan<- os.Signal, sets <-chan Settings) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings")
	writeSettings(t, path, goodSettings)
	src := &settingsSource{path: path}
	if _, err := src.load(io.Discard); err != nil {
		t.Fatal(err)
	}
	meanwhile(path)
	sgs := make(chan os.Signal, 1)
	return path, sgs, src.watch(t.Context(), sgs, func(os.Signal) {}, logrus.New())
}

// expectRevokeTime expects the next settings to arrive in time with a RevokeTime of want.
func expectRevokeTime(t *testing.T, sets <-chan Settings, want time.Duration) {
	t.Helper()
	select {
	case set := <-sets:
		if set.RevokeTime != want {
			t.Errorf("revoke-time %v, want %v", set.RevokeTime, want)
		}
	case <-time.After(3 * filePollInterval):
		t.Error("no settings were delivered")
	}
}

var changedSettings = strings.Replace(goodSettings, "3s", "4s", 1)

// TestChangedFileIsReloaded changes the settings file and sends no SIGHUP. It guards against a watch
// that heeds only the signal: the new settings must be delivered all the same.
func TestChangedFileIsReloaded(t *testing.T) {
	t.Parallel()
	path, _, sets := startWatch(t, func(string) {})
	time.Sleep(100 * time.Millisecond)
	writeSettings(t, path, changedSettings)
	expectRevokeTime(t, sets, 4*time.Second)
}

// TestFileChangedBeforeTheWatchIsReloaded guards against a lost change: a file that changes after it
// was loaded and before the watch begins must be loaded again.
func TestFileChangedBeforeTheWatchIsReloaded(t *testing.T) {
	t.Parallel()
	_, _, sets := startWatch(t, func(path string) { writeSettings(t, path, changedSettings) })
	expectRevokeTime(t, sets, 4*time.Second)
}

// TestPartlyWrittenFileIsNotApplied sends SIGHUP when only the first half of the file is
// written, which is valid by itself since it has every required setting. If it were applied, the
// settings of the other half would fall back to their defaults until the next reload.
func TestPartlyWrittenFileIsNotApplied(t *testing.T) {
	t.Parallel()
	path, hup, sets := startWatch(t, func(string) {})
	half, _, _ := strings.Cut(goodSettings, "revoke-time")
	writeSettings(t, path, half)
	hup <- syscall.SIGHUP
	time.Sleep(fileSettleTime / 2)
	writeSettings(t, path, changedSettings)
	expectRevokeTime(t, sets, 4*time.Second)
}

// TestEmptyFileDiffersFromAMissingOne guards against taking an empty file for one that is still
// missing: the file must then count as changed, so that it is loaded. A file that stays missing must
// not, or it would be loaded at every poll.
func TestEmptyFileDiffersFromAMissingOne(t *testing.T) {
	t.Parallel()
	src := &settingsSource{path: filepath.Join(t.TempDir(), "settings")}
	if _, err := src.load(io.Discard); err == nil {
		t.Fatal("a missing file was read")
	}
	if src.changed() {
		t.Error("a file that is still missing is reported as changed")
	}
	writeSettings(t, src.path, "")
	if !src.changed() {
		t.Error("an empty file in place of a missing one is not reported as changed")
	}
}
