// Package misbehaving tests that clients which send too much, too slowly or without reading cannot
// end a VM, exhaust its memory or its descriptors, or keep ordinary callers from being served.
package misbehaving
