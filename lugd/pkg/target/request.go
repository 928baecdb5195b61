package target

import (
	"net/http"
	"net/url"
)

// NewRequest returns a request without a body that asks a target for the same as another request does, with the given
// headers.
func NewRequest(in *http.Request, hdr http.Header, address string) *http.Request {
	if _, found := hdr["User-Agent"]; !found {
		hdr.Set("User-Agent", "") // net/http would add its own otherwise.
	}
	return &http.Request{
		Method: in.Method, Host: in.Host, Header: hdr,
		URL: &url.URL{Scheme: "http", Host: address, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery},
	}
}
