package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/issue"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugctl/pkg/client"
)

// TestCreatedKeyIsPrintedAsJSON prints a new key for scripts, which could not read it as plain text.
func TestCreatedKeyIsPrintedAsJSON(t *testing.T) {
	var out bytes.Buffer
	prn, err := newPrinter(&out, "json")
	if err != nil {
		t.Fatal(err)
	}
	key := config.Key{Organisation: "org", Secret: "secret", Digest: config.DigestOf("secret")}
	if err := printKey(prn, key); err != nil {
		t.Fatal(err)
	}
	var got createdKey
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || got.ID != key.ID() || got.Secret != "secret" {
		t.Errorf("got %q, %v", out.String(), err)
	}
}

// TestShownConfigurationIsANote prints a configuration of which something is not understood. Each item must be shown, and the text
// must remain a part of a release note.
func TestShownConfigurationIsANote(t *testing.T) {
	var out bytes.Buffer
	iss := []issue.Issue{{Object: "routes/odd", Field: "kind", Found: "\"a\nb\"", Assumed: "served at most once"}}
	if err := printDocument(&printer{out: &out}, note.Render(config.Content{}), iss); err != nil {
		t.Fatal(err)
	}
	if _, err := note.Read([]byte("release: shown\n" + out.String())); err != nil || !strings.Contains(out.String(), "# not understood: routes/odd.kind") {
		t.Errorf("got %q, %v", out.String(), err)
	}
	out.Reset()
	if err := printDocument(&printer{out: &out, json: true}, "", iss); err != nil || !strings.Contains(out.String(), `"notUnderstood"`) {
		t.Errorf("got %q, %v", out.String(), err)
	}
}

// TestWaitNamesTheUnreachableVM waits for a release to be in force at a VM that cannot be reached. The
// release is stored, so the exit code must say that; the error must say why nothing more is known.
func TestWaitNamesTheUnreachableVM(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	_ = lis.Close()
	cct := &commandContext{wait: 300 * time.Millisecond, progress: io.Discard}
	_, err = cct.waitInForce(context.Background(), client.New("http://"+address, http.DefaultClient), 7)
	if ExitCode(err) != ExitNotInForce || !strings.Contains(err.Error(), "cannot reach the VM") {
		t.Errorf("exit code %d: %v", ExitCode(err), err)
	}
}
