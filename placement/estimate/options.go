package estimate

import "time"

// Options configures a model. Zero fields take their default.
type Options struct {
	Window         time.Duration // period that one report covers
	Horizon        time.Duration // period for which the runs of a worker are kept
	HalfLife       time.Duration // time in which a harm estimate decays halfway to the prior
	PriorWeight    float64       // weight of a declared value, in reports
	PriorHarm      float64       // expected harm of a pair without reports
	PriorDeviation float64       // standard deviation of PriorHarm
	Noise          float64       // relative standard deviation of one latency report
	ReserveSigma   float64       // standard deviations of usage that are added to a reservation
	RunTimeSigma   float64       // standard deviations of the run time that are added to its estimate
}

// Default option values.
const (
	defaultWindow         = 5 * time.Second
	defaultHorizon        = 2 * time.Minute
	defaultHalfLife       = 24 * time.Hour
	defaultPriorWeight    = 3.0
	defaultPriorHarm      = 0.01
	defaultPriorDeviation = 0.30
	defaultNoise          = 0.10
	defaultReserveSigma   = 2.0
	defaultRunTimeSigma   = 1.0
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// withDefaults returns the options with all defaults filled in.
func (o Options) withDefaults() Options {
	setDefault(&o.Window, defaultWindow)
	setDefault(&o.Horizon, defaultHorizon)
	setDefault(&o.HalfLife, defaultHalfLife)
	setDefault(&o.PriorWeight, defaultPriorWeight)
	setDefault(&o.PriorHarm, defaultPriorHarm)
	setDefault(&o.PriorDeviation, defaultPriorDeviation)
	setDefault(&o.Noise, defaultNoise)
	setDefault(&o.ReserveSigma, defaultReserveSigma)
	setDefault(&o.RunTimeSigma, defaultRunTimeSigma)
	return o
}
