package caller

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// FuzzKeys checks that no part of a request in which a key may be carried is
// left once the keys have been taken.
func FuzzKeys(f *testing.F) {
	f.Add("Bearer abc", "abc", "a=b; apiKey=abc", "apiKey=abc&x=y")
	f.Add("bearer  abc", "", "APIKEY=abc", "%61piKey=abc")
	f.Add("Basic abc", "one, two", ";;apiKey", "apiKey&&apikey=")
	f.Add("", "", "apiKey =\"abc\"", "api%4bey=a%20b;apiKey=c")
	f.Fuzz(func(t *testing.T, authorization, header, cookie, query string) {
		head := "GET /p?" + query + " HTTP/1.1\r\nHost: h\r\nAuthorization: " + authorization + "\r\nX-Api-Key: " + header + "\r\nCookie: " + cookie + "\r\n\r\n"
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			return
		}
		extractKeys(req)
		if req.Header.Get(authorizationHeader) != "" || req.Header.Get(keyHeader) != "" {
			t.Errorf("a header is left: %v", req.Header)
		}
		for _, ckk := range req.Cookies() {
			if strings.EqualFold(ckk.Name, keyCookie) {
				t.Errorf("a cookie is left: %v", req.Header["Cookie"])
			}
		}
		vals, _ := url.ParseQuery(req.URL.RawQuery) // What can be parsed counts.
		for name := range vals {
			if strings.EqualFold(name, keyParameter) {
				t.Errorf("a parameter is left: %q", req.URL.RawQuery)
			}
		}
	})
}
