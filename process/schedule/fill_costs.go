package schedule

import (
	"math"
	"time"

	"camphorhead.example/camphorhead/request/interference"
)

// maxFillLoadAge is how long the load of a worker is used that nothing has changed: the predicted
// load of its serving tasks changes with time.
const maxFillLoadAge = 100 * time.Millisecond

// fillLoad is the load of one worker, as it concerns filling tasks.
type fillLoad struct {
	at           time.Time
	idleMilliCPU int64 // what filling tasks may still use; negative if it is exceeded
	// closed is set if a serving task has been over its target for so long that the
	// agent is about to pause the filling tasks; no more of them may be placed then.
	closed   bool
	serving  []servingLoad   // without Features.Forecast
	forecast *workerForecast // with it; nil before its first use
}

// servingLoad is a serving task with the weighted use of the filling tasks beside it
// (pressure) and the probability that it is over its target at predictionHorizon.
type servingLoad struct {
	interference.Serving
	pressure, overProbability float64
}

// fillClass holds the properties shared by filling tasks that cause the same interference.
type fillClass struct {
	image    string
	milliCPU int64
	runTime  time.Duration // rounded; 0 without Features.Forecast
}

func (t *Table) fillClassOf(s *stepState) fillClass {
	c := fillClass{image: s.def.Image, milliCPU: s.def.Need.MilliCPU}
	if t.cfg.Features.Forecast {
		c.runTime = runTimeClass(t.fillRunTime(s))
	}
	return c
}

// fillCosts caches the interference cost of one class on each worker, in the order of
// Table.sortedAgents. A cost is that of the load whose version it was computed for; versions begin
// at 1.
type fillCosts struct {
	costs    []float64
	versions []uint64
}

// maxFillClasses bounds the cache of costs: the classes of ended jobs stay in it until it is full.
const maxFillClasses = 256

// fillCostsOf returns the cache of a class.
func (t *Table) fillCostsOf(class fillClass) *fillCosts {
	c := t.fillCostCache[class]
	if c == nil {
		if len(t.fillCostCache) >= maxFillClasses {
			clear(t.fillCostCache)
		}
		c = &fillCosts{costs: make([]float64, len(t.sortedAgents)), versions: make([]uint64, len(t.sortedAgents))}
		t.fillCostCache[class] = c
	}
	return c
}

// fillCost returns the interference cost at one worker: how many more serving tasks are
// expected to be over their target if it gets a filling task of the class. It is infinite
// for a closed worker.
func (t *Table) fillCost(v *view, cache *fillCosts, i int, class fillClass) float64 {
	a := v.agents[i]
	l := t.loadOf(v.now, a)
	if cache.versions[i] != a.fillVersion {
		cache.versions[i], cache.costs[i] = a.fillVersion, t.computeFillCost(v.now, a, l, class)
	}
	return cache.costs[i]
}

func (t *Table) computeFillCost(now time.Time, a *agentState, l *fillLoad, class fillClass) float64 {
	if l.closed {
		return math.Inf(1)
	}
	if t.cfg.Features.Forecast {
		if l.forecast == nil {
			l.forecast = t.newWorkerForecast(now, a)
		}
		return t.forecastCost(a, l.forecast, class)
	}
	share := a.node.FillShare(class.milliCPU)
	var cost float64
	for _, s := range l.serving {
		weight := t.pressure.Weight(interference.PressurePair{Serving: s.Image, Filling: class.image})
		cost += t.pressure.OverTarget(now.Add(predictionHorizon), s.Serving, s.pressure+weight*share) - s.overProbability
	}
	return cost
}

// loadOf returns the load of a worker, at most maxFillLoadAge old and of its current runs and
// measurements, so that a pass costs as much as has changed since the previous one.
func (t *Table) loadOf(now time.Time, a *agentState) *fillLoad {
	if l := a.fillLoad; l != nil && now.Sub(l.at) < maxFillLoadAge {
		return l
	}
	a.fillLoad = t.newFillLoad(now, a)
	a.fillVersion++
	return a.fillLoad
}

func (t *Table) newFillLoad(now time.Time, a *agentState) *fillLoad {
	l := &fillLoad{at: now, idleMilliCPU: int64(maxFillLoad*float64(a.node.IdleMilliCPU())) - a.node.FillMilliCPU}
	if len(a.tailSamples) == 0 {
		return l
	}
	for _, r := range a.tailSamples {
		l.closed = l.closed || now.Sub(r.at) <= maxSampleAge && !r.overSince.IsZero() && t.cfg.Guard.Closes(now.Sub(r.overSince))
	}
	if t.cfg.Features.Forecast {
		return l
	}
	filling := a.filling()
	for _, r := range a.tailSamples {
		if now.Sub(r.at) > maxSampleAge {
			continue
		}
		pressure := t.pressure.Sum(r.Image, filling)
		l.serving = append(l.serving, servingLoad{
			Serving: r.Serving, pressure: pressure, overProbability: t.pressure.OverTarget(now.Add(predictionHorizon), r.Serving, pressure),
		})
	}
	return l
}

// filling returns the expected use of the worker's filling tasks at full pace, by image
// and as a share of the worker's processors.
func (a *agentState) filling() []interference.Filling {
	var use []interference.Filling
	for _, run := range a.runs {
		if def := run.task.step.def; def.Fills {
			use = append(use, interference.Filling{Image: def.Image, Share: a.node.FillShare(def.Need.MilliCPU)})
		}
	}
	return interference.SumByImage(use)
}
