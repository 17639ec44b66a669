// Package inquirer asks the owner of a job for its results. Readers who wait at
// other processes then learn of results at once and cost the key-value service
// nothing.
package inquirer
