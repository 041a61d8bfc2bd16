package interference

import (
	"math"
	"time"
)

// The load of a serving step often swings with a period: its users come in waves. A swing forecasts
// such a load over the run of a filling task, for which a trend of the last seconds is too short.
//
// For each candidate period, a Kalman filter estimates a mean and one harmonic. The steps of a fleet
// share the periodBank, which rates the candidates by the errors of the forecasts that they made;
// so the period is known within about one period, and a step that begins later needs only its phase.
// Candidate 0 is the trend, for loads without a period.

const (
	trendCandidate = 0
	// shortestPeriod and periodRatio define the candidates, up to about a minute. A period
	// between two candidates differs from one by 3% at most, which the filter follows.
	shortestPeriod = 6.0 // seconds
	periodRatio    = 1.06
	candidateCount = 42
	harmonicVar    = 0.04 // prior variance of each coefficient of a harmonic
	harmonicDrift  = 2e-4 // process variance per second of the mean and the coefficients
	forecastLead   = 2 * time.Second
	forecastEvery  = 500 * time.Millisecond
	maxForecasts   = 8 // of a step that wait for their time
	forecastMatch  = 300 * time.Millisecond
	ratingDecay    = 0.9975 // of earlier forecast errors, for each new one
	ratedPressure  = 0.3    // pressure above which a measurement does not rate forecasts
	minRatings     = 20     // forecasts that must have been rated before a period is used
	// importedVar is the variance of imported coefficients: loads change, and clocks differ.
	importedVar              = 0.004
	swingMeasurementVariance = 0.025 * 0.025 // of one measured utilization
	// minForecastStdDev allows for the noise of the measured tail latency.
	minForecastStdDev = 0.03
)

// candidatePeriods holds the period of each candidate in seconds; 0 is the trend.
var candidatePeriods = func() (periods [candidateCount]float64) {
	p := shortestPeriod
	for i := 1; i < candidateCount; i++ {
		periods[i] = p
		p *= periodRatio
	}
	return periods
}()

// periodBank rates the candidates for all steps.
type periodBank struct {
	squares [candidateCount]float64 // decayed sums of squared forecast errors
	weight  float64                 // decayed number of rated forecasts
	best    int
	epoch   time.Time // from which phases count
	// imported holds the harmonics of the best candidate that another process has learned, by step.
	imported map[string][3]float64
}

// rate adds the errors of one forecast.
func (b *periodBank) rate(forecast *[candidateCount]float64, load float64) {
	b.weight = ratingDecay*b.weight + 1
	for i, f := range forecast {
		b.squares[i] = ratingDecay*b.squares[i] + (f-load)*(f-load)
	}
	if b.weight < minRatings {
		return
	}
	for i := range b.squares {
		if b.squares[i] < b.squares[b.best] {
			b.best = i
		}
	}
}

// stdDev returns the standard deviation of the forecasts of the best candidate.
func (b *periodBank) stdDev() float64 {
	if b.weight < minRatings {
		return utilizationStdDev
	}
	return math.Min(math.Sqrt(b.squares[b.best]/b.weight), utilizationStdDev)
}

// swing is the state of one step for all candidates.
type swing struct {
	at        time.Time
	harmonics [candidateCount]harmonic // that of the trend is unused
	forecasts []forecast               // the earliest first
	madeAt    time.Time
}

// forecast holds the values of all candidates for one time.
type forecast struct {
	at     time.Time
	values [candidateCount]float64
}

// harmonic estimates the mean and the coefficients of cosine and sine at one period.
type harmonic struct {
	mean [3]float64
	cov  [3][3]float64
}

// newSwing returns the swing of a step, with what was imported for it.
func (b *periodBank) newSwing(now time.Time, step string, level float64) *swing {
	s := &swing{at: now}
	for i := range s.harmonics {
		h := &s.harmonics[i]
		h.mean[0] = level
		h.cov[0][0], h.cov[1][1], h.cov[2][2] = priorLevelVar, harmonicVar, harmonicVar
	}
	if mean, ok := b.imported[step]; ok {
		h := &s.harmonics[b.best]
		h.mean = mean
		for i := range h.cov {
			h.cov[i][i] = importedVar
		}
	}
	return s
}

// basis returns the factors of the mean and the coefficients at a time.
func (b *periodBank) basis(candidate int, at time.Time) [3]float64 {
	sin, cos := math.Sincos(2 * math.Pi * at.Sub(b.epoch).Seconds() / candidatePeriods[candidate])
	return [3]float64{1, cos, sin}
}

func (h *harmonic) value(basis [3]float64) float64 {
	return h.mean[0] + h.mean[1]*basis[1] + h.mean[2]*basis[2]
}

// correct updates a harmonic by a measured utilization, which is factor times the load.
func (h *harmonic) correct(basis [3]float64, utilization, factor, noiseVar, dt float64) {
	var gain [3]float64
	variance := noiseVar
	for i := range gain {
		h.cov[i][i] += harmonicDrift * dt
	}
	for i := range gain {
		for j := range basis {
			gain[i] += h.cov[i][j] * basis[j] * factor
		}
		variance += gain[i] * basis[i] * factor
	}
	innovation := utilization - factor*h.value(basis)
	for i := range gain {
		h.mean[i] += gain[i] / variance * innovation
	}
	for i := range gain {
		for j := range gain {
			h.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
}

// observe adds a measurement to all candidates. noiseVar is the variance of the utilization apart
// from that of the load.
func (s *swing) observe(b *periodBank, now time.Time, utilization, factor, noiseVar float64) {
	dt := math.Min(math.Max(now.Sub(s.at).Seconds(), 0), maxGapSeconds)
	s.at = now
	for i := 1; i < candidateCount; i++ {
		s.harmonics[i].correct(b.basis(i, now), utilization, factor, noiseVar, dt)
	}
}

// rateForecasts rates the forecasts for now by a load measured beside little pressure, and drops
// those whose time is over.
func (s *swing) rateForecasts(b *periodBank, now time.Time, load float64) {
	for len(s.forecasts) > 0 && !s.forecasts[0].at.After(now) {
		if f := &s.forecasts[0]; now.Sub(f.at) < forecastMatch {
			b.rate(&f.values, load)
		}
		s.forecasts = s.forecasts[1:]
	}
}

// makeForecast adds a forecast if it is time for one. trend is that of candidate 0.
func (s *swing) makeForecast(b *periodBank, now time.Time, trend func(at time.Time) float64) {
	if now.Sub(s.madeAt) < forecastEvery || len(s.forecasts) >= maxForecasts {
		return
	}
	s.madeAt = now
	f := forecast{at: now.Add(forecastLead)}
	f.values[trendCandidate] = trend(f.at)
	for i := 1; i < candidateCount; i++ {
		f.values[i] = s.harmonics[i].value(b.basis(i, f.at))
	}
	s.forecasts = append(s.forecasts, f)
}

// variance returns the variance of the estimated load.
func (h *harmonic) variance(basis [3]float64) (sum float64) {
	for i := range basis {
		for j := range basis {
			sum += basis[i] * h.cov[i][j] * basis[j]
		}
	}
	return sum
}

// currentLoad returns the estimate of a step's load at the time of a measurement, with its variance.
func (p *Pressure) currentLoad(now time.Time, l *load) (level, variance float64) {
	if p.bank.best == trendCandidate {
		return l.level, l.levelVar
	}
	h, basis := &l.swing.harmonics[p.bank.best], p.bank.basis(p.bank.best, now)
	return math.Min(math.Max(h.value(basis), minLoad), maxLoad), h.variance(basis)
}

// updateSwing corrects the weights and all candidates of a step by one measurement. Unlike update, it
// does not attribute a deviation from the forecast load to that load alone: the period keeps it apart
// from what filling tasks cause.
func (p *Pressure) updateSwing(now time.Time, l *load, s Serving, v float64, fillings []Filling, dt float64) {
	factor := 1 + p.Sum(s.Image, fillings)
	level, levelVar := p.currentLoad(now, l)
	innovation := v - level*factor
	if v > saturatedUtilization && innovation < 0 {
		return // above saturation v is a lower bound, which the prediction already exceeds
	}
	noise := swingMeasurementVariance
	for _, f := range fillings {
		gradient := level * f.Share
		noise += p.weight(PressurePair{s.Image, f.Image}).variance * gradient * gradient
	}
	variance := factor*factor*levelVar + noise
	for _, f := range fillings {
		p.updateWeight(PressurePair{s.Image, f.Image}, level*f.Share, innovation, variance, dt)
	}
	if factor < 1+ratedPressure {
		l.swing.rateForecasts(p.bank, now, v/factor)
	}
	l.swing.observe(p.bank, now, v, factor, noise)
	l.correct(factor, v-l.level*factor, factor*factor*l.levelVar+noise)
	l.swing.makeForecast(p.bank, now, l.trend)
}
