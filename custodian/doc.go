// Package custodian stores jobs that were accepted while the key-value service was
// unavailable on the disks of several instances, until they are delivered to the
// service. Only the job's record in the service says what happened to a job. The record
// is created once, however many custodians deliver the job.
package custodian
