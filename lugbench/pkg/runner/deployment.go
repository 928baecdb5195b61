package runner

import (
	"fmt"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/rate"
)

// Deployment describes the targets and organisations of one firm.
type Deployment struct {
	Name    string
	Domains int
	// Apart is the time that a message takes one way between failure domains.
	Apart    time.Duration
	Slots    int
	Services []ServicePlan
	// Sigma is the spread of the logarithm of service times.
	Sigma         float64
	Organisations []OrganisationPlan
	Floor         float64
	// RateFactor multiplies the limits of organisations; 0 means 1.
	RateFactor float64
}

// ServicePlan describes one service.
type ServicePlan struct {
	Name    string
	Workers int
	// Mean is the mean service time.
	Mean time.Duration
}

// OrganisationPlan describes one organisation by its share of the load.
type OrganisationPlan struct {
	Name  string
	Share float64
}

// organisations returns eight organisations, a few of them large.
func organisations() []OrganisationPlan {
	shares := []float64{0.3, 0.25, 0.2, 0.08, 0.06, 0.05, 0.04, 0.02}
	var out []OrganisationPlan
	for num, share := range shares {
		out = append(out, OrganisationPlan{Name: fmt.Sprintf("org-%d", num+1), Share: share})
	}
	return out
}

// Kelanisaru returns the deployment of Kelanisaru Thermal Records. The service
// times are assumed.
func Kelanisaru() Deployment {
	return Deployment{
		Name: "kelanisaru", Domains: 3, Apart: 1500 * time.Microsecond, Slots: 3, Sigma: 0.5, Floor: 0.7,
		Services: []ServicePlan{
			{"logbook", 10, 30 * time.Millisecond}, {"certify", 15, 60 * time.Millisecond}, {"kilnops", 15, 40 * time.Millisecond},
		},
		Organisations: organisations(),
	}
}

// KilnLedger returns the deployment of Kiln Ledger. The service times are
// assumed.
func KilnLedger() Deployment {
	return Deployment{
		Name: "kilnledger", Domains: 3, Apart: 500 * time.Microsecond, Slots: 6, Sigma: 0.5, Floor: 0.6,
		Services: []ServicePlan{
			{"recipe-vault", 5, 15 * time.Millisecond}, {"frit-orders", 10, 40 * time.Millisecond}, {"kiln-journal", 10, 25 * time.Millisecond},
		},
		Organisations: organisations(),
	}
}

// Deployments returns both deployments.
func Deployments() []Deployment { return []Deployment{Kelanisaru(), KilnLedger()} }

func vmName(num int) string { return fmt.Sprintf("vm-%03d", num+1) }

func (dep Deployment) domain(num int) string { return fmt.Sprintf("domain-%d", num%dep.Domains+1) }

func (dep Deployment) service(name string) ServicePlan {
	for _, svc := range dep.Services {
		if svc.Name == name {
			return svc
		}
	}
	return ServicePlan{}
}

// Capacity returns the requests a second that fill every slot of a service.
func (dep Deployment) Capacity(svc ServicePlan) float64 {
	return float64(svc.Workers*dep.Slots) / svc.Mean.Seconds()
}

// Demand returns the requests a second of all services at a load.
func (dep Deployment) Demand(load float64) float64 {
	sum := 0.0
	for _, svc := range dep.Services {
		sum += dep.Capacity(svc) * load
	}
	return sum
}

// Share returns the share of the load of an organisation.
func (dep Deployment) Share(organisation string) float64 {
	for _, org := range dep.Organisations {
		if org.Name == organisation {
			return org.Share
		}
	}
	return 0
}

// Limit returns the limit of an organisation that uses nine tenths of its rate
// at a load of 70%.
func (dep Deployment) Limit(org OrganisationPlan) rate.Limit {
	perSecond := dep.Demand(0.7) * org.Share / 0.9
	if dep.RateFactor > 0 {
		perSecond *= dep.RateFactor
	}
	return rate.Limit{Rate: rate.RequestsPerSecond(perSecond), Burst: rate.Requests(max(2*perSecond, 10))}
}

func (dep Deployment) content() config.Content {
	var con config.Content
	for _, org := range dep.Organisations {
		con.Organisations = append(con.Organisations, config.Organisation{Name: org.Name, Limit: dep.Limit(org), Weight: 1})
		con.Keys = append(con.Keys, config.Key{ID: org.Name, Organisation: org.Name, Digest: config.DigestOf(org.Name)})
	}
	for _, svc := range dep.Services {
		one := config.Service{Name: svc.Name, HealthyFloor: dep.Floor}
		for num := range svc.Workers {
			name := fmt.Sprintf("worker-%02d", num+1)
			one.Targets = append(one.Targets, config.Target{
				Name: name, Address: name, FailureDomain: dep.domain(num), Slots: dep.Slots, Connections: 400,
			})
		}
		con.Services = append(con.Services, one)
		for _, kind := range []string{"read", "write"} {
			con.Routes = append(con.Routes, config.Route{
				Name: svc.Name + "-" + kind, PathPrefix: "/" + svc.Name + "/" + kind, Access: config.AccessKeyed,
				Service: svc.Name, Idempotent: kind == "read", Timeout: 2 * time.Second, MaxAttempts: 3,
			})
		}
	}
	return con
}
