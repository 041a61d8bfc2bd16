package worker

import (
	"math/rand/v2"
	"time"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/internal/seeded"
)

// TaskBehaviour is what a run really does, as opposed to what its request declares.
type TaskBehaviour struct {
	Duration           time.Duration       // work at full speed, over all runs; unused if long-running
	Real               resources.Resources // use at full speed
	FailAfter          time.Duration       // run time until this run fails; 0 means never
	CheckpointInterval time.Duration       // 0 means only when stopped and at the end of the lease
}

// BehaviourFunc chooses the behaviour of a run. It is called from any goroutine under no
// lock. The random source depends only on Config.Seed and the job ID, so all runs of a job
// can behave alike on workers with the same seed.
type BehaviourFunc func(req platform.RunRequest, rng *rand.Rand) TaskBehaviour

// AsDeclared makes tasks use what they declare and work for a fixed duration.
func AsDeclared(duration time.Duration) BehaviourFunc {
	return func(req platform.RunRequest, _ *rand.Rand) TaskBehaviour {
		return TaskBehaviour{Duration: duration, Real: req.Need}
	}
}

func (w *Worker) behaviourOf(req platform.RunRequest) TaskBehaviour {
	return w.config.Behaviour(req, seeded.Rand(w.config.Seed, req.Task.Job))
}
