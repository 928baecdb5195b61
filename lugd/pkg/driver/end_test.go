package driver

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
)

// TestNoWorkStartsAfterDriverHasEnded starts platform calls while the driver's context is
// canceled. No call may begin after Run has returned.
func TestNoWorkStartsAfterDriverHasEnded(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		dri := New(ctx, gateway.Settings{Name: "vm", Self: member.VM{ID: "vm.r"}}, newMemoryStore(), NewClock(), testMetrics{net: &network{}}, log, 0)
		var wgr sync.WaitGroup
		ended := make(chan struct{})
		wgr.Go(func() {
			dri.Run()
			close(ended)
		})
		wgr.Go(func() {
			for range 20 {
				dri.mut.Lock()
				dri.callPlatform("write", "vm.other", func(context.Context) error {
					select {
					case <-ended:
						t.Error("a write began after Run had returned")
					default:
					}
					return nil
				})
				dri.mut.Unlock()
			}
		})
		time.Sleep(20 * time.Microsecond)
		cancel()
		wgr.Wait()
	}
}
