fleet {
  requests {
    rate  = 100
    burst = 0.5
  }
  work {
    rate  = 1000
    burst = 300
  }
  open { most = 0.3 }
  book "*" {
    class "advance-release" {
      key {
        rate  = per_hour(10)
        burst = 0
      }
    }
  }
}
