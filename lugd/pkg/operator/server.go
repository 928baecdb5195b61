// Package operator serves the HTTP API by which operators inspect the fleet.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/lugd/service/api"
)

// fleet provides the state that the API returns.
type fleet interface {
	VMs(ctx context.Context) []api.VM
	Targets() []api.Target
	Contents() []api.Content
	Domains() []api.Domain
	Rollout(ctx context.Context, version uint64) api.Rollout
}

// Server serves the operator API.
type Server struct {
	fleet fleet
	log   logrus.FieldLogger
	mux   *http.ServeMux
}

// New returns a server of the operator API for fle.
func New(fle fleet, log logrus.FieldLogger) *Server {
	srv := &Server{fleet: fle, log: log, mux: http.NewServeMux()}
	srv.mux.HandleFunc("GET "+api.PathVMs, srv.vms)
	srv.mux.HandleFunc("GET "+api.PathTargets, srv.targets)
	srv.mux.HandleFunc("GET "+api.PathContents, srv.contents)
	srv.mux.HandleFunc("GET "+api.PathDomains, srv.domains)
	srv.mux.HandleFunc("GET "+api.PathRollout+"{version}", srv.rollout)
	return srv
}

// ServeHTTP implements http.Handler.
func (srv *Server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) { srv.mux.ServeHTTP(wrt, req) }

func (srv *Server) vms(wrt http.ResponseWriter, req *http.Request) {
	srv.writeJSON(wrt, http.StatusOK, srv.fleet.VMs(req.Context()))
}

func (srv *Server) targets(wrt http.ResponseWriter, _ *http.Request) {
	srv.writeJSON(wrt, http.StatusOK, srv.fleet.Targets())
}

func (srv *Server) contents(wrt http.ResponseWriter, _ *http.Request) {
	srv.writeJSON(wrt, http.StatusOK, srv.fleet.Contents())
}

func (srv *Server) domains(wrt http.ResponseWriter, _ *http.Request) {
	srv.writeJSON(wrt, http.StatusOK, srv.fleet.Domains())
}

func (srv *Server) rollout(wrt http.ResponseWriter, req *http.Request) {
	version, err := strconv.ParseUint(req.PathValue("version"), 10, 64)
	if err != nil {
		srv.writeJSON(wrt, http.StatusBadRequest, &api.Error{Code: api.CodeMalformed, Message: "the version must be a whole number"})
		return
	}
	srv.writeJSON(wrt, http.StatusOK, srv.fleet.Rollout(req.Context(), version))
}

func (srv *Server) writeJSON(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	if err := json.NewEncoder(wrt).Encode(body); err != nil {
		srv.log.WithError(err).Info("cannot write the response to an operator")
	}
}
