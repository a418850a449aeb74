package estimate

import "time"

// Options tunes a model. Zero fields take their default.
type Options struct {
	Window         time.Duration // time that one report averages over
	Horizon        time.Duration // time for which residents are remembered
	HalfLife       time.Duration // time in which what was learned loses half its weight
	PriorWeight    float64       // weight of a declared value, in reports
	PriorHarm      float64       // expected harm of an untried pair
	PriorDeviation float64       // its standard deviation
	Noise          float64       // standard deviation of one latency report, relative
	ReserveSigma   float64       // standard deviations of usage that are reserved
	RunTimeSigma   float64       // standard deviations of the run time that are allowed for
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

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) complete() Options {
	orDefault(&o.Window, defaultWindow)
	orDefault(&o.Horizon, defaultHorizon)
	orDefault(&o.HalfLife, defaultHalfLife)
	orDefault(&o.PriorWeight, defaultPriorWeight)
	orDefault(&o.PriorHarm, defaultPriorHarm)
	orDefault(&o.PriorDeviation, defaultPriorDeviation)
	orDefault(&o.Noise, defaultNoise)
	orDefault(&o.ReserveSigma, defaultReserveSigma)
	orDefault(&o.RunTimeSigma, defaultRunTimeSigma)
	return o
}
