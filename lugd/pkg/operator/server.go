// Package operator serves the API through which operators drive the fleet.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugd/pkg/release"
	"marigoldlug.example/lugd/service/api"
)

// maxNote is the greatest length in bytes of a release note.
const maxNote = 16 << 20

// committer writes and reads releases.
type committer interface {
	Apply(ctx context.Context, doc []byte, operator string) (release.Result, error)
	Check(ctx context.Context, doc []byte) (before, after config.Content, err error)
	History(ctx context.Context) ([]release.Entry, fence.Head, error)
	Content(ctx context.Context, version uint64) (config.Content, error)
}

// fleet tells about the VMs.
type fleet interface {
	Self() api.VM
	VMs(ctx context.Context) []api.VM
	Targets() []api.Target
	Spread(ctx context.Context, version uint64) api.Spread
	Announce(hea fence.Head)
}

// Server serves the operator API.
type Server struct {
	committer committer
	fleet     fleet
	log       logrus.FieldLogger
	mux       *http.ServeMux
}

// New returns a server that commits through com and reports on fle.
func New(com committer, fle fleet, log logrus.FieldLogger) *Server {
	srv := &Server{committer: com, fleet: fle, log: log, mux: http.NewServeMux()}
	srv.mux.HandleFunc("POST "+api.PathReleases, srv.apply)
	srv.mux.HandleFunc("GET "+api.PathReleases, srv.history)
	srv.mux.HandleFunc("GET "+api.PathReleases+"/{version}/spread", srv.spread)
	srv.mux.HandleFunc("GET "+api.PathReleases+"/{version}/note", srv.show)
	srv.mux.HandleFunc("POST "+api.PathCheck, srv.check)
	srv.mux.HandleFunc("GET "+api.PathStatus, srv.status)
	srv.mux.HandleFunc("GET "+api.PathVMs, srv.vms)
	srv.mux.HandleFunc("GET "+api.PathTargets, srv.targets)
	return srv
}

// ServeHTTP answers one call.
func (srv *Server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) { srv.mux.ServeHTTP(wrt, req) }

func (srv *Server) apply(wrt http.ResponseWriter, req *http.Request) {
	doc, ok := srv.readNote(wrt, req)
	if !ok {
		return
	}
	operator := req.Header.Get(api.OperatorHeader)
	res, err := srv.committer.Apply(req.Context(), doc, operator)
	if err != nil {
		srv.fail(wrt, err)
		return
	}
	srv.log.WithFields(logrus.Fields{"release": res.ID, "version": res.Version, "operator": operator}).Info("release written")
	srv.fleet.Announce(res.Head)
	srv.answer(wrt, http.StatusOK, api.ConvertResult(res))
}

func (srv *Server) readNote(wrt http.ResponseWriter, req *http.Request) ([]byte, bool) {
	doc, err := io.ReadAll(http.MaxBytesReader(wrt, req.Body, maxNote))
	if err != nil {
		srv.answer(wrt, http.StatusBadRequest, &api.Error{Code: api.CodeMalformed, Message: err.Error()})
		return nil, false
	}
	return doc, true
}

func (srv *Server) check(wrt http.ResponseWriter, req *http.Request) {
	doc, ok := srv.readNote(wrt, req)
	if !ok {
		return
	}
	before, after, err := srv.committer.Check(req.Context(), doc)
	if err != nil {
		srv.fail(wrt, err)
		return
	}
	srv.answer(wrt, http.StatusOK, api.ConvertDifferences(note.Diff(before, after)))
}

func (srv *Server) history(wrt http.ResponseWriter, req *http.Request) {
	ens, hea, err := srv.committer.History(req.Context())
	if err != nil {
		srv.fail(wrt, err)
		return
	}
	srv.answer(wrt, http.StatusOK, api.ConvertHistory(ens, hea.Version))
}

func (srv *Server) spread(wrt http.ResponseWriter, req *http.Request) {
	version, err := parseVersion(req.PathValue("version"))
	if err != nil {
		srv.answer(wrt, http.StatusBadRequest, &api.Error{Code: api.CodeMalformed, Message: err.Error()})
		return
	}
	srv.answer(wrt, http.StatusOK, srv.fleet.Spread(req.Context(), version))
}

// show answers with the configuration at a version in the form of a note.
func (srv *Server) show(wrt http.ResponseWriter, req *http.Request) {
	version, err := parseVersion(req.PathValue("version"))
	if err != nil {
		srv.answer(wrt, http.StatusBadRequest, &api.Error{Code: api.CodeMalformed, Message: err.Error()})
		return
	}
	con, err := srv.committer.Content(req.Context(), version)
	if err != nil {
		srv.fail(wrt, err)
		return
	}
	srv.answer(wrt, http.StatusOK, api.Document{Text: note.Render(con)})
}

func (srv *Server) status(wrt http.ResponseWriter, _ *http.Request) {
	srv.answer(wrt, http.StatusOK, srv.fleet.Self())
}

func (srv *Server) vms(wrt http.ResponseWriter, req *http.Request) {
	srv.answer(wrt, http.StatusOK, srv.fleet.VMs(req.Context()))
}

func (srv *Server) targets(wrt http.ResponseWriter, _ *http.Request) {
	srv.answer(wrt, http.StatusOK, srv.fleet.Targets())
}

func (srv *Server) fail(wrt http.ResponseWriter, err error) {
	body := api.ConvertError(err)
	sta := http.StatusUnprocessableEntity
	switch body.Code {
	case api.CodeConflict, api.CodeReused:
		sta = http.StatusConflict
	case api.CodeUnavailable:
		sta = http.StatusServiceUnavailable
		if !errors.Is(err, context.Canceled) {
			srv.log.WithError(err).Warn("cannot reach the platform for an operator")
		}
	}
	srv.answer(wrt, sta, body)
}

func (srv *Server) answer(wrt http.ResponseWriter, sta int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(sta)
	if err := json.NewEncoder(wrt).Encode(body); err != nil {
		srv.log.WithError(err).Debug("cannot answer an operator")
	}
}
