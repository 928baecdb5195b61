package soak

import (
	"fmt"
	"math/rand/v2"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/targetfake"
)

const (
	// uploadsPerSecond is how many callers a second send uploadsAhead uploads on a connection without waiting.
	uploadsPerSecond = 3
	uploadsAhead     = 3
	maxUploadBytes   = 40 << 10
	// earlyPerSecond is how many uploads a second are answered early and reset while faults are injected.
	earlyPerSecond = 1
	earlyBytes     = 8 << 20
	// uploadStream separates the random numbers of uploads from those of other streams.
	uploadStream = 1 << 36
)

// sendUploads sends uploads ahead on a connection. Each asks for 100 Continue and does not wait for it.
func (loa *load) sendUploads(num int) {
	rnd := rand.New(rand.NewPCG(loa.flt.set.Seed, uploadStream+uint64(num)))
	var reqs []sentRequest
	for one := range uploadsAhead {
		length := 1 + rnd.IntN(maxUploadBytes)
		reqs = append(reqs, sentRequest{
			id: fmt.Sprintf("upload-%d-%d", num, one), organisation: "studio", upload: length, path: fmt.Sprintf("%s?%s=%d", readsPath, targetfake.UploadParameter, length),
		})
	}
	loa.exchange(reqs, num, playground.Key)
}

// sendEarly sends an upload whose target answers a part at once and resets the connection.
func (loa *load) sendEarly(num int) {
	path := fmt.Sprintf("%s?%s", readsPath, targetfake.EarlyParameter)
	loa.exchange([]sentRequest{{id: fmt.Sprintf("early-%d", num), organisation: "studio", upload: earlyBytes, early: true, path: path}}, num, playground.Key)
}
