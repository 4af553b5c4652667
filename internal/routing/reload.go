package routing

import (
	"time"

	"olivebridge/balancer"
)

// UpdateSettings changes the settings of a running Router. Classes and tenants must keep their indices. Settings that
// the Balancer rejects have no effect and are logged.
func (r *Router) UpdateSettings(settings balancer.Settings) { r.post(settingsEvent{settings}) }

// settingsEvent applies changed settings.
type settingsEvent struct{ settings balancer.Settings }

func (e settingsEvent) handle(r *Router) {
	if err := r.balancer.UpdateSettings(r.now(), r.subset.settings(e.settings)); err != nil {
		r.log.Error("settings not taken", "reason", err.Error())
		return
	}
	r.settings = e.settings
	r.updateAccepting(time.Now())
	r.maxRetryAfter.Store(int64(e.settings.MaxRetryAfter))
}
