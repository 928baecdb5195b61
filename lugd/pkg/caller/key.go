// Package caller speaks HTTP to callers: it takes their requests, has them
// decided and relays the answers of targets.
package caller

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"marigoldlug.example/core/config"
)

// The places in which a request may carry a key.
const (
	authorizationHeader = "Authorization"
	bearerScheme        = "bearer "
	keyHeader           = "X-Api-Key"
	keyCookie           = "apiKey"
	keyParameter        = "apiKey"
)

// extractKeys removes every key from the request and returns the digests of
// the distinct ones. A key that appears in trailers is removed by sanitised
// trailers, since it arrives too late to be used.
func extractKeys(req *http.Request) []config.Digest {
	var keys []string
	keys = append(keys, keysOfHeaders(req.Header)...)
	keys = append(keys, keysOfCookies(req.Header)...)
	keys = append(keys, keysOfQuery(req.URL)...)
	for name := range req.Trailer {
		if carriesKey(name) {
			delete(req.Trailer, name)
		}
	}
	slices.Sort(keys)
	keys = slices.Compact(keys)
	digests := make([]config.Digest, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, config.DigestOf(key))
	}
	return digests
}

// carriesKey reports whether the header of a canonical name may carry a key.
func carriesKey(name string) bool {
	return name == authorizationHeader || name == keyHeader || name == "Cookie"
}

func keysOfHeaders(hdr http.Header) []string {
	var keys []string
	for _, val := range hdr.Values(authorizationHeader) {
		if len(val) > len(bearerScheme) && strings.EqualFold(val[:len(bearerScheme)], bearerScheme) {
			keys = append(keys, strings.TrimSpace(val[len(bearerScheme):]))
		}
	}
	hdr.Del(authorizationHeader)
	for _, val := range hdr.Values(keyHeader) {
		keys = append(keys, strings.TrimSpace(val))
	}
	hdr.Del(keyHeader)
	return keys
}

func keysOfCookies(hdr http.Header) []string {
	lines := hdr.Values("Cookie")
	if len(lines) == 0 {
		return nil
	}
	var keys, kept []string
	for _, line := range lines {
		for part := range strings.SplitSeq(line, ";") {
			part = strings.TrimSpace(part)
			name, val, _ := strings.Cut(part, "=")
			if strings.EqualFold(strings.TrimSpace(name), keyCookie) {
				keys = append(keys, strings.Trim(strings.TrimSpace(val), `"`))
				continue
			}
			if part != "" {
				kept = append(kept, part)
			}
		}
	}
	hdr.Del("Cookie")
	if len(kept) > 0 {
		hdr.Set("Cookie", strings.Join(kept, "; "))
	}
	return keys
}

func keysOfQuery(loc *url.URL) []string {
	if !strings.Contains(strings.ToLower(loc.RawQuery), "api") && !strings.Contains(loc.RawQuery, "%") {
		return nil
	}
	var keys, kept []string
	for part := range strings.SplitSeq(loc.RawQuery, "&") {
		name, val, _ := strings.Cut(part, "=")
		plain, err := url.QueryUnescape(name)
		if err == nil && strings.EqualFold(plain, keyParameter) {
			if key, err := url.QueryUnescape(val); err == nil {
				keys = append(keys, key)
			}
			continue
		}
		kept = append(kept, part)
	}
	loc.RawQuery = strings.Join(kept, "&")
	return keys
}
