package request

import "testing"

func TestFingerprintsDifferInEachPartOfTheRequest(t *testing.T) {
	seen := make(map[Fingerprint]string)
	for name, fpr := range map[string]Fingerprint{
		"plain":            FingerprintOf("GET", "h", "/a", nil).Of("studio"),
		"other method":     FingerprintOf("PUT", "h", "/a", nil).Of("studio"),
		"other host":       FingerprintOf("GET", "i", "/a", nil).Of("studio"),
		"other path":       FingerprintOf("GET", "h", "/a?b", nil).Of("studio"),
		"other body":       FingerprintOf("GET", "h", "/a", []byte("b")).Of("studio"),
		"moved boundary":   FingerprintOf("GET", "h/", "a", nil).Of("studio"),
		"path or body":     FingerprintOf("GET", "h", "", []byte("/a")).Of("studio"),
		"other caller":     FingerprintOf("GET", "h", "/a", nil).Of("potter"),
		"open route":       FingerprintOf("GET", "h", "/a", nil).Of(""),
		"no organisation":  FingerprintOf("GET", "h", "/a", nil),
		"unknown content ": Fingerprint{}.Of("studio"),
	} {
		if other, found := seen[fpr]; found {
			t.Errorf("%s and %s have the same fingerprint", name, other)
		}
		seen[fpr] = name
	}
}

func TestFingerprintsAreParsed(t *testing.T) {
	fpr := FingerprintOf("GET", "h", "/a", nil)
	if got, valid := ParseFingerprint(fpr.String()); !valid || got != fpr {
		t.Errorf("got %v, %v", got, valid)
	}
	for _, txt := range []string{"", "00", "zz", fpr.String() + "00"} {
		if _, valid := ParseFingerprint(txt); valid {
			t.Errorf("%q was parsed", txt)
		}
	}
}
