//! Batch jobs: what is kept, how items are run, what readers see.
