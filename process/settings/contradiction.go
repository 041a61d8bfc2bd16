package settings

import "net/netip"

// intRange is the permitted range of one integer key. It applies to one role only, if
// role is set.
type intRange struct {
	key      string
	min, max int64
	role     Role
	value    func(*Settings) int64
}

var ranges = []intRange{
	// 256 KiB is the limit of the HTTP interface.
	{"http.max_body_bytes", 1024, 262_144, "", func(s *Settings) int64 { return s.HTTP.MaxBodyBytes }},
	{"lease.task_ms", 200, 600_000, "", func(s *Settings) int64 { return s.Lease.TaskMs }},
	{"lease.heartbeat_ms", 10, 60_000, "", func(s *Settings) int64 { return s.Lease.HeartbeatMs }},
	{"lease.leader_ms", 100, 60_000, "", func(s *Settings) int64 { return s.Lease.LeaderMs }},
	// A leader that commits every 10 ms stays below the store's limit of 400 writes/s.
	{"records.commit_ms", 10, 5000, RoleEntry, func(s *Settings) int64 { return s.Records.CommitMs }},
	{"records.retention_ms", 1000, 604_800_000, RoleEntry, func(s *Settings) int64 { return s.Records.RetentionMs }},
	{"records.checkpoint_ms", 0, 86_400_000, RoleEntry, func(s *Settings) int64 { return s.Records.CheckpointMs }},
	{"lease.outage_ms", 100, 86_400_000, "", func(s *Settings) int64 { return s.Lease.OutageMs }},
	{"lease.worker_ms", 100, 600_000, "", func(s *Settings) int64 { return s.Lease.WorkerMs }},
	{"lease.worker_max_ms", 0, 600_000, "", func(s *Settings) int64 { return s.Lease.WorkerMaxMs }},
	{"lease.cancel_ms", 1000, 600_000, RoleEntry, func(s *Settings) int64 { return s.Lease.CancelMs }},
	{"interference.max_over_ms", 500, 3_600_000, "", func(s *Settings) int64 { return s.Interference.MaxOverMs }},
	{"scheduling.max_place_wait_ms", 0, 600_000, RoleEntry, func(s *Settings) int64 { return s.Scheduling.MaxPlaceWaitMs }},
	{"scheduling.model_interval_ms", 0, 600_000, RoleEntry, func(s *Settings) int64 { return s.Scheduling.ModelIntervalMs }},
	{"limits.processor_percent", 0, 100_000, "", func(s *Settings) int64 { return s.Limits.ProcessorPercent }},
	{"limits.memory_mb", 0, 1_000_000, "", func(s *Settings) int64 { return s.Limits.MemoryMB }},
	{"limits.pool_workers", 1, 256, "", func(s *Settings) int64 { return s.Limits.PoolWorkers }},
	{"limits.pool_queue", 1, 65_536, "", func(s *Settings) int64 { return s.Limits.PoolQueue }},
	{"limits.queue_length", 1, 65_536, "", func(s *Settings) int64 { return s.Limits.QueueLength }},
	{"limits.reserve_milli_cpu", 0, 1_000_000, "", func(s *Settings) int64 { return s.Limits.ReserveMilliCPU }},
	{"limits.reserve_memory_mb", 0, 16_000_000, "", func(s *Settings) int64 { return s.Limits.ReserveMemoryMB }},
	{"limits.cpu_floor_percent", 10, 100, "", func(s *Settings) int64 { return s.Limits.CPUFloorPercent }},
	{"limits.call_timeout_ms", 10, 60_000, "", func(s *Settings) int64 { return s.Limits.CallTimeoutMs }},
	{"network.link_mbit", 1, 100_000, "", func(s *Settings) int64 { return s.Network.LinkMbit }},
}

// role checks the settings that only one of the roles needs or may have.
func (c *checker) role(s Settings) {
	switch s.Role {
	case RoleEntry:
		c.url("store.url", s.Store.URL)
		if form := s.Store.Configuration; form != "" && form != ConfigurationLog && form != ConfigurationDocument {
			c.refuse("store.configuration", "must be %q or %q", ConfigurationLog, ConfigurationDocument)
		}
		if s.Advice.Address != "" {
			c.address("advice.address", s.Advice.Address, false)
		}
		if s.Jobs != (Jobs{}) {
			c.address("jobs.listen", s.Jobs.Listen, true)
			c.address("jobs.ready", s.Jobs.Ready, true)
		}
		if s.Limits.ReserveMilliCPU != 0 {
			c.refuse("limits.reserve_milli_cpu", `contradicts role = "entry"; only an agent has a worker`)
		}
		if s.Limits.ReserveMemoryMB != 0 {
			c.refuse("limits.reserve_memory_mb", `contradicts role = "entry"; only an agent has a worker`)
		}
	case RoleAgent:
		c.url("worker.url", s.Worker.URL)
		if p := s.Worker.Protocol; p != "" && p != ProtocolNative && p != ProtocolPlatform {
			c.refuse("worker.protocol", "must be %q or %q", ProtocolNative, ProtocolPlatform)
		}
		if s.Worker.Protocol == ProtocolPlatform {
			c.address("worker.registry", s.Worker.Registry, true)
			c.url("store.url", s.Store.URL)
			return // the agent finds the leader in the store
		}
		if len(s.Entries.Seeds) == 0 {
			c.refuse("entries.seeds", `is missing; role = "agent" needs at least one entry`)
		}
	}
}

// tables refuses the tables of the other role, which would have no effect, also empty
// ones if they are in the file.
func (c *checker) tables(s Settings, where positions) {
	refuse := func(table string, set bool) {
		if set || where.has(table) {
			c.refuse(table, "contradicts role = %q, which does not use it", s.Role)
		}
	}
	switch s.Role {
	case RoleEntry:
		refuse("worker", s.Worker != Worker{})
	case RoleAgent:
		refuse("jobs", s.Jobs != Jobs{})
		refuse("advice", s.Advice != Advice{})
		refuse("scheduling", s.Scheduling != Scheduling{})
		if s.Worker.Protocol != ProtocolPlatform {
			refuse("store", s.Store != Store{})
		}
		refuse("records", s.Records != Records{})
	}
}

// contradictions refuses settings that contradict each other. Each message names the
// other key.
func (c *checker) contradictions(s Settings) {
	c.listeners(s)
	c.leases(s)
	c.scheduling(s.Scheduling)
	if s.Process.Key != "" && s.Process.KeyFile != "" {
		c.refuse("process.key_file", "contradicts process.key; set one of them")
	}
	if s.HTTP.TLSCert != "" && s.HTTP.TLSKey == "" {
		c.refuse("http.tls_cert", "needs http.tls_key")
	}
	if s.HTTP.TLSKey != "" && s.HTTP.TLSCert == "" {
		c.refuse("http.tls_key", "needs http.tls_cert")
	}
	if s.Limits.PoolQueue < s.Limits.PoolWorkers {
		c.refuse("limits.pool_queue", "must not be below limits.pool_workers (%d)", s.Limits.PoolWorkers)
	}
	if s.Auth.Required && len(s.Auth.Tokens) == 0 {
		c.refuse("auth.required", "contradicts auth.tokens, which is empty; every request would be refused")
	}
}

func (c *checker) listeners(s Settings) {
	frames, err := netip.ParseAddrPort(s.Process.Listen)
	if err != nil {
		return
	}
	if frames.Port() != 0 && s.Process.Listen == s.HTTP.Listen {
		c.refuse("http.listen", "must differ from process.listen (%s)", s.Process.Listen)
	}
	if frames.Addr().IsUnspecified() && s.Process.Advertise == "" {
		c.refuse("process.advertise", "is missing; process.listen (%s) cannot be dialled by others", s.Process.Listen)
	}
}

const maxFarFactor = 100

func (c *checker) scheduling(s Scheduling) {
	// The negated condition refuses NaN as well.
	if f := s.FarFactor; f != 0 && !(f >= 1 && f <= maxFarFactor) {
		c.refuse("scheduling.far_factor", "must be 0 or from 1 to %d, not %g", maxFarFactor, f)
	}
	if s.MaxPlaceWaitMs > 0 && s.FarFactor == 0 && !s.LearnRunTimes {
		c.refuse("scheduling.max_place_wait_ms", "needs scheduling.far_factor or scheduling.learn_run_times; without them no wait pays")
	}
}

func (c *checker) leases(s Settings) {
	l := s.Lease
	// A lease must not expire after a single lost heartbeat.
	if 2*l.HeartbeatMs >= l.TaskMs {
		c.refuse("lease.heartbeat_ms", "must be below half of lease.task_ms (%d)", l.TaskMs)
	}
	// Otherwise tasks would stop before a new leader is elected.
	if l.LeaderMs >= l.TaskMs {
		c.refuse("lease.leader_ms", "must be below lease.task_ms (%d)", l.TaskMs)
	}
	if s.Role != RoleEntry {
		return
	}
	// A call that times out must leave time for a second one within the leader timeout.
	if 2*s.Limits.CallTimeoutMs > l.LeaderMs {
		c.refuse("limits.call_timeout_ms", "must be at most half of lease.leader_ms (%d)", l.LeaderMs)
	}
	// A caller must be able to request the outcome of a job that ended with its lease.
	if s.Records.RetentionMs < l.TaskMs {
		c.refuse("records.retention_ms", "must not be below lease.task_ms (%d)", l.TaskMs)
	}
}
