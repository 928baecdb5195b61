// Package fence decides whether a VM may still act on what it knows, and
// whether a change can no longer be missed by any VM that acts.
package fence

import "marigoldlug.example/core/chunk"

// Head names the newest configuration and the newest view. It is the content
// of one object of the platform, changed only by conditional update.
type Head struct {
	// Version grows by one with every change of the head.
	Version uint64
	// Release is the ID of the newest release note, and ReleaseVersion the
	// version at which it was written.
	Release        string
	ReleaseVersion uint64
	Manifest       chunk.ID
	// History names the chunk that lists the latest releases.
	History chunk.ID
	// LimitsVersion is the version at which a limit of any organisation was
	// last set.
	LimitsVersion uint64
	// Epoch is the version at which the view last changed.
	Epoch uint64
	View  chunk.ID
	// PriorView is the view before the present one; a change is accepted only
	// once majorities of both hold it.
	PriorView chunk.ID
	// Writer and Sequence identify the update, so that a writer that lost the
	// answer recognises its own.
	Writer   string
	Sequence uint64
}
