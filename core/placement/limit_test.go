package placement

import (
	"math/rand/v2"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/request"
)

// newPlacer returns the placer of a fleet whose targets announce nothing.
func newPlacer(rnd *rand.Rand, bud *request.RetryBudget) *Placer {
	return New(rnd, bud, announcement.NewBook(), NewFleetLimiter())
}
