package gateway

import (
	"testing"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// TestUnreadConfigurationIsNotRefusedForGood sends requests for entries of the configuration that could not be read. 404 and 401
// would tell callers that what an operator has configured does not exist; entries that can be read must be served as ever.
func TestUnreadConfigurationIsNotRefusedForGood(t *testing.T) {
	vmm := newVM(t).load()
	con := content()
	con.Keys = append(con.Keys, config.Key{Digest: config.UnreadKeys}, config.Key{Organisation: "unrated", Digest: config.DigestOf("unrated")})
	con.Routes = append(con.Routes, config.Route{Name: "closed", Host: "h", PathPrefix: "/closed/"}, config.Route{Name: "lost", Host: config.UnreadHost})
	vmm.config(2, con)
	for _, one := range []struct{ path, key string }{
		{"/read/x", "another"}, {"/read/x", "unrated"}, {"/closed/x", ""}, {"/closed/x", key}, {"/nowhere/x", key},
	} {
		if ref := vmm.mustRefuse(vmm.arrive(one.path, one.key), request.NoConfiguration, verdict.NotRun); ref.RetryAfter <= 0 {
			t.Errorf("%s: refused without a time for a retry", one.path)
		}
	}
	vmm.mustRefuse(vmm.arrive("/read/x", ""), request.NoKey, verdict.NotRun)
	if _, sent := dispatched(vmm.arrive("/read/x", key)); !sent {
		t.Error("a request that has nothing to do with what cannot be read was not sent")
	}
	vmm.config(3, content())
	vmm.mustRefuse(vmm.arrive("/read/x", "another"), request.UnknownKey, verdict.NotRun)
	vmm.mustRefuse(vmm.arrive("/nowhere/x", key), request.NoRoute, verdict.NotRun)
}
