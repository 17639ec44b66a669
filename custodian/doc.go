// Package custodian stores jobs that were accepted while the key-value service was
// unavailable on the disks of several instances, until they are delivered to the
// service. Only the job's record in the service says what happened to a job. It is
// created there once, however many custodians deliver it.
package custodian
