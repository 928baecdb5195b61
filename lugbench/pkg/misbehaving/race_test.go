//go:build race

package misbehaving

// raceDetector is set in a program that is built with the race detector.
const raceDetector = true
